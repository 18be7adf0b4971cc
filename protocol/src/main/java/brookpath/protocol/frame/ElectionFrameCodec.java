package brookpath.protocol.frame;

import static brookpath.protocol.frame.FrameReader.isSet;
import static brookpath.protocol.frame.FrameWriter.flag;
import static brookpath.protocol.frame.FrameWriter.utf8;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.sbe.TimeoutNowFrameDecoder;
import brookpath.protocol.sbe.TimeoutNowFrameEncoder;
import brookpath.protocol.sbe.VoteReplyFrameDecoder;
import brookpath.protocol.sbe.VoteReplyFrameEncoder;
import brookpath.protocol.sbe.VoteRequestFrameDecoder;
import brookpath.protocol.sbe.VoteRequestFrameEncoder;

/** Vote requests and replies, and the request to start an election without waiting for the election timeout. */
final class ElectionFrameCodec {
    private ElectionFrameCodec() {}

    static int encode(final PeerMessage.VoteRequest request, final FrameWriter writer) {
        return new VoteRequestFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .group(request.group())
                .groupVersion(request.groupVersion())
                .term(request.term())
                .endIndex(request.endIndex())
                .endTerm(request.endTerm())
                .weight(request.weight())
                .attempts(request.attempts())
                .manual(flag(request.manual()))
                .encodedLength();
    }

    static PeerMessage.VoteRequest decodeVoteRequest(final FrameReader reader) {
        final VoteRequestFrameDecoder frame =
                new VoteRequestFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.VoteRequest(
                frame.group(),
                frame.groupVersion(),
                frame.term(),
                frame.endIndex(),
                frame.endTerm(),
                frame.weight(),
                frame.attempts(),
                isSet(frame.manual()));
    }

    static int encode(final PeerMessage.VoteReply reply, final FrameWriter writer) {
        final VoteReplyFrameEncoder frame = new VoteReplyFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .group(reply.group())
                .term(reply.term())
                .granted(flag(reply.granted()))
                .termSeen(reply.termSeen());
        final byte[] reason = utf8(reply.reason());
        return frame.putReason(reason, 0, reason.length).encodedLength();
    }

    static PeerMessage.VoteReply decodeVoteReply(final FrameReader reader) {
        final VoteReplyFrameDecoder frame =
                new VoteReplyFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.VoteReply(
                frame.group(),
                frame.term(),
                isSet(frame.granted()),
                frame.termSeen(),
                reader.readString(frame.reasonLength(), frame::getReason));
    }

    static int encode(final PeerMessage.TimeoutNow request, final FrameWriter writer) {
        return new TimeoutNowFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .group(request.group())
                .term(request.term())
                .encodedLength();
    }

    static PeerMessage.TimeoutNow decodeTimeoutNow(final FrameReader reader) {
        final TimeoutNowFrameDecoder frame =
                new TimeoutNowFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.TimeoutNow(frame.group(), frame.term());
    }
}
