package brookpath.protocol.frame;

import static brookpath.protocol.frame.FrameWriter.utf8;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.sbe.ControlReplyFrameDecoder;
import brookpath.protocol.sbe.ControlReplyFrameEncoder;
import brookpath.protocol.sbe.ControlRequestFrameDecoder;
import brookpath.protocol.sbe.ControlRequestFrameEncoder;

/** Requests to the control leader, and the replies to them. */
final class ControlFrameCodec {
    private ControlFrameCodec() {}

    static int encode(final PeerMessage.ControlRequest request, final FrameWriter writer) {
        final byte[] kind = utf8(request.kind());
        return new ControlRequestFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .requestId(request.requestId())
                .putKind(kind, 0, kind.length)
                .putBody(request.body(), 0, request.body().length)
                .encodedLength();
    }

    static PeerMessage.ControlRequest decodeRequest(final FrameReader reader) {
        final ControlRequestFrameDecoder frame =
                new ControlRequestFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.ControlRequest(
                frame.requestId(),
                reader.readString(frame.kindLength(), frame::getKind),
                reader.readBytes(frame.bodyLength(), frame::getBody));
    }

    static int encode(final PeerMessage.ControlReply reply, final FrameWriter writer) {
        return new ControlReplyFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .requestId(reply.requestId())
                .status(reply.status())
                .retryAfterMs(reply.retryAfterMs())
                .putBody(reply.body(), 0, reply.body().length)
                .encodedLength();
    }

    static PeerMessage.ControlReply decodeReply(final FrameReader reader) {
        final ControlReplyFrameDecoder frame =
                new ControlReplyFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.ControlReply(
                frame.requestId(),
                frame.status(),
                frame.retryAfterMs(),
                reader.readBytes(frame.bodyLength(), frame::getBody));
    }
}
