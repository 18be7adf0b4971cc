package brookpath.protocol.frame;

import static brookpath.protocol.frame.FrameReader.isSet;
import static brookpath.protocol.frame.FrameWriter.flag;
import static brookpath.protocol.frame.FrameWriter.utf8;

import brookpath.coordination.message.FetchStatus;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PublishOutcome;
import brookpath.protocol.sbe.FetchFrameDecoder;
import brookpath.protocol.sbe.FetchFrameEncoder;
import brookpath.protocol.sbe.FetchReplyFrameDecoder;
import brookpath.protocol.sbe.FetchReplyFrameEncoder;
import brookpath.protocol.sbe.PublishFrameDecoder;
import brookpath.protocol.sbe.PublishFrameEncoder;
import brookpath.protocol.sbe.PublishReplyFrameDecoder;
import brookpath.protocol.sbe.PublishReplyFrameEncoder;
import brookpath.state.record.LogRecord;
import java.util.ArrayList;
import java.util.List;

/** Publishes to a topic, fetches of committed records, and the replies to both. */
final class TopicFrameCodec {
    private TopicFrameCodec() {}

    static int encode(final PeerMessage.Publish request, final FrameWriter writer) {
        final PublishFrameEncoder frame = new PublishFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .requestId(request.requestId())
                .group(request.group())
                .configurationVersion(request.configurationVersion())
                .seq(request.seq());
        final byte[] tenant = utf8(request.tenant());
        final byte[] topic = utf8(request.topic());
        final byte[] sender = utf8(request.sender());
        final byte[] text = utf8(request.text());
        return frame.putTenant(tenant, 0, tenant.length)
                .putTopic(topic, 0, topic.length)
                .putSender(sender, 0, sender.length)
                .putText(text, 0, text.length)
                .encodedLength();
    }

    static PeerMessage.Publish decodePublish(final FrameReader reader) {
        final PublishFrameDecoder frame =
                new PublishFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.Publish(
                frame.requestId(),
                frame.group(),
                frame.configurationVersion(),
                frame.seq(),
                reader.readString(frame.tenantLength(), frame::getTenant),
                reader.readString(frame.topicLength(), frame::getTopic),
                reader.readString(frame.senderLength(), frame::getSender),
                reader.readString(frame.textLength(), frame::getText));
    }

    static int encode(final PeerMessage.PublishReply reply, final FrameWriter writer) {
        final byte[] reason = utf8(reply.reason());
        return new PublishReplyFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .requestId(reply.requestId())
                .outcome((short) reply.outcome().code())
                .position(reply.position())
                .leaderHint(reply.leaderHint())
                .term(reply.term())
                .putReason(reason, 0, reason.length)
                .encodedLength();
    }

    static PeerMessage.PublishReply decodePublishReply(final FrameReader reader) {
        final PublishReplyFrameDecoder frame =
                new PublishReplyFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.PublishReply(
                frame.requestId(),
                PublishOutcome.ofCode(frame.outcome()),
                frame.position(),
                frame.leaderHint(),
                frame.term(),
                reader.readString(frame.reasonLength(), frame::getReason));
    }

    static int encode(final PeerMessage.Fetch request, final FrameWriter writer) {
        final FetchFrameEncoder frame = new FetchFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .requestId(request.requestId())
                .group(request.group())
                .tail(flag(request.tail()))
                .hold(flag(request.longPoll()))
                .at(request.at())
                .edition(request.edition());
        final FetchFrameEncoder.TopicsEncoder topics =
                frame.topicsCount(request.topics().size());
        for (final PeerMessage.TopicPosition position : request.topics()) {
            final byte[] topic = utf8(position.topic());
            topics.next().from(position.from()).putTopic(topic, 0, topic.length);
        }
        return frame.encodedLength();
    }

    static PeerMessage.Fetch decodeFetch(final FrameReader reader) {
        final FetchFrameDecoder frame = new FetchFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        final List<PeerMessage.TopicPosition> topics = new ArrayList<>();
        for (final FetchFrameDecoder.TopicsDecoder topic : frame.topics()) {
            topics.add(new PeerMessage.TopicPosition(
                    reader.readString(topic.topicLength(), topic::getTopic), topic.from()));
        }
        return new PeerMessage.Fetch(
                frame.requestId(),
                frame.group(),
                isSet(frame.tail()),
                isSet(frame.hold()),
                frame.at(),
                frame.edition(),
                topics);
    }

    static int encode(final PeerMessage.FetchReply reply, final FrameWriter writer) {
        final FetchReplyFrameEncoder frame = new FetchReplyFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .requestId(reply.requestId())
                .group(reply.group())
                .status((short) reply.status().code())
                .scannedTo(reply.scannedTo());
        final FetchReplyFrameEncoder.GoneEncoder gone =
                frame.goneCount(reply.gone().size());
        for (final String name : reply.gone()) {
            final byte[] topic = utf8(name);
            gone.next().putTopic(topic, 0, topic.length);
        }
        final FetchReplyFrameEncoder.RecordsEncoder records =
                frame.recordsCount(reply.records().size());
        for (final LogRecord record : reply.records()) {
            records.next().putRecord(record.bytes(), 0, record.bytes().length);
        }
        return frame.encodedLength();
    }

    static PeerMessage.FetchReply decodeFetchReply(final FrameReader reader) {
        final FetchReplyFrameDecoder frame =
                new FetchReplyFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        final List<String> gone = new ArrayList<>();
        for (final FetchReplyFrameDecoder.GoneDecoder topic : frame.gone()) {
            gone.add(reader.readString(topic.topicLength(), topic::getTopic));
        }
        final List<LogRecord> records = new ArrayList<>();
        for (final FetchReplyFrameDecoder.RecordsDecoder record : frame.records()) {
            records.add(reader.readRecord(record.recordLength(), record::getRecord));
        }
        return new PeerMessage.FetchReply(
                frame.requestId(), frame.group(), FetchStatus.ofCode(frame.status()), frame.scannedTo(), gone, records);
    }
}
