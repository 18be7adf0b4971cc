package brookpath.protocol.frame;

import static brookpath.protocol.frame.FrameWriter.utf8;

import brookpath.coordination.message.ListenerCountStatus;
import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.sbe.ListenerCountReplyFrameDecoder;
import brookpath.protocol.sbe.ListenerCountReplyFrameEncoder;
import brookpath.protocol.sbe.ListenerCountRequestFrameDecoder;
import brookpath.protocol.sbe.ListenerCountRequestFrameEncoder;
import brookpath.protocol.sbe.ListenerReportFrameDecoder;
import brookpath.protocol.sbe.ListenerReportFrameEncoder;
import java.util.ArrayList;
import java.util.List;

/** Counts of listening sessions: reports of gateways, and requests to a data node and the replies to them. */
final class ListenerFrameCodec {
    private ListenerFrameCodec() {}

    static int encode(final PeerMessage.ListenerReport report, final FrameWriter writer) {
        final ListenerReportFrameEncoder frame = new ListenerReportFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .group(report.group())
                .edition(report.edition())
                .onto(report.onto());
        final ListenerReportFrameEncoder.CountsEncoder counts =
                frame.countsCount(report.counts().size());
        for (final PeerMessage.TopicCount count : report.counts()) {
            final byte[] topic = utf8(count.topic());
            counts.next().sessions(count.count()).putTopic(topic, 0, topic.length);
        }
        return frame.encodedLength();
    }

    static PeerMessage.ListenerReport decodeReport(final FrameReader reader) {
        final ListenerReportFrameDecoder frame =
                new ListenerReportFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        final List<PeerMessage.TopicCount> counts = new ArrayList<>();
        for (final ListenerReportFrameDecoder.CountsDecoder count : frame.counts()) {
            counts.add(new PeerMessage.TopicCount(
                    reader.readString(count.topicLength(), count::getTopic), count.sessions()));
        }
        return new PeerMessage.ListenerReport(frame.group(), frame.edition(), frame.onto(), counts);
    }

    static int encode(final PeerMessage.ListenerCountRequest request, final FrameWriter writer) {
        final byte[] topic = utf8(request.topic());
        return new ListenerCountRequestFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .requestId(request.requestId())
                .group(request.group())
                .putTopic(topic, 0, topic.length)
                .encodedLength();
    }

    static PeerMessage.ListenerCountRequest decodeCountRequest(final FrameReader reader) {
        final ListenerCountRequestFrameDecoder frame =
                new ListenerCountRequestFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.ListenerCountRequest(
                frame.requestId(), frame.group(), reader.readString(frame.topicLength(), frame::getTopic));
    }

    static int encode(final PeerMessage.ListenerCountReply reply, final FrameWriter writer) {
        return new ListenerCountReplyFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .requestId(reply.requestId())
                .status((short) reply.status().code())
                .count(reply.count())
                .encodedLength();
    }

    static PeerMessage.ListenerCountReply decodeCountReply(final FrameReader reader) {
        final ListenerCountReplyFrameDecoder frame =
                new ListenerCountReplyFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.ListenerCountReply(
                frame.requestId(), ListenerCountStatus.ofCode(frame.status()), frame.count());
    }
}
