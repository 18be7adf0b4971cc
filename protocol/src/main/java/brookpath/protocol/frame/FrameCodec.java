package brookpath.protocol.frame;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.sbe.ConfigurationPollFrameDecoder;
import brookpath.protocol.sbe.ConfigurationReplyFrameDecoder;
import brookpath.protocol.sbe.ControlReplyFrameDecoder;
import brookpath.protocol.sbe.ControlRequestFrameDecoder;
import brookpath.protocol.sbe.FetchFrameDecoder;
import brookpath.protocol.sbe.FetchReplyFrameDecoder;
import brookpath.protocol.sbe.HeartbeatFrameDecoder;
import brookpath.protocol.sbe.ListenerCountReplyFrameDecoder;
import brookpath.protocol.sbe.ListenerCountRequestFrameDecoder;
import brookpath.protocol.sbe.ListenerReportFrameDecoder;
import brookpath.protocol.sbe.PublishFrameDecoder;
import brookpath.protocol.sbe.PublishReplyFrameDecoder;
import brookpath.protocol.sbe.PullFrameDecoder;
import brookpath.protocol.sbe.PullReplyFrameDecoder;
import brookpath.protocol.sbe.TimeoutNowFrameDecoder;
import brookpath.protocol.sbe.VoteReplyFrameDecoder;
import brookpath.protocol.sbe.VoteRequestFrameDecoder;

/**
 * Encodes peer messages as SBE frames and decodes them, delegating to one codec for each group of messages. Not
 * thread-safe, because the buffers are reused.
 */
public final class FrameCodec {
    /** The largest frame in bytes, excluding the length field that precedes it on a session. */
    public static final int MAX_FRAME_BYTES = 32 << 20;

    private final FrameWriter writer = new FrameWriter();
    private final FrameReader reader = new FrameReader();

    /** Encodes a message as a frame, including its header, into a new array. */
    public byte[] encode(final PeerMessage message) {
        return writer.copyFrame(encodeGroupMessage(message));
    }

    /** Encodes a message between members of a replication group, or else delegates to {@link #encodeServiceMessage}. */
    private int encodeGroupMessage(final PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            return HeartbeatFrameCodec.encode(heartbeat, writer);
        } else if (message instanceof PeerMessage.VoteRequest request) {
            return ElectionFrameCodec.encode(request, writer);
        } else if (message instanceof PeerMessage.VoteReply reply) {
            return ElectionFrameCodec.encode(reply, writer);
        } else if (message instanceof PeerMessage.TimeoutNow request) {
            return ElectionFrameCodec.encode(request, writer);
        } else if (message instanceof PeerMessage.Pull request) {
            return ReplicationFrameCodec.encode(request, writer);
        } else if (message instanceof PeerMessage.PullReply reply) {
            return ReplicationFrameCodec.encode(reply, writer);
        }
        return encodeServiceMessage(message);
    }

    /** Encodes a message between gateways, data nodes and controllers. */
    private int encodeServiceMessage(final PeerMessage message) {
        if (message instanceof PeerMessage.Publish request) {
            return TopicFrameCodec.encode(request, writer);
        } else if (message instanceof PeerMessage.PublishReply reply) {
            return TopicFrameCodec.encode(reply, writer);
        } else if (message instanceof PeerMessage.Fetch request) {
            return TopicFrameCodec.encode(request, writer);
        } else if (message instanceof PeerMessage.FetchReply reply) {
            return TopicFrameCodec.encode(reply, writer);
        } else if (message instanceof PeerMessage.ConfigurationPoll poll) {
            return ConfigurationFrameCodec.encode(poll, writer);
        } else if (message instanceof PeerMessage.ConfigurationReply reply) {
            return ConfigurationFrameCodec.encode(reply, writer);
        } else if (message instanceof PeerMessage.ControlRequest request) {
            return ControlFrameCodec.encode(request, writer);
        } else if (message instanceof PeerMessage.ControlReply reply) {
            return ControlFrameCodec.encode(reply, writer);
        } else if (message instanceof PeerMessage.ListenerReport report) {
            return ListenerFrameCodec.encode(report, writer);
        } else if (message instanceof PeerMessage.ListenerCountRequest request) {
            return ListenerFrameCodec.encode(request, writer);
        } else if (message instanceof PeerMessage.ListenerCountReply reply) {
            return ListenerFrameCodec.encode(reply, writer);
        }
        throw new IllegalArgumentException("no codec for message type " + message.getClass());
    }

    /**
     * Decodes the frame in the given range of bytes.
     *
     * @throws MalformedFrameException if the frame cannot be decoded
     */
    public PeerMessage decode(final byte[] bytes, final int offset, final int length) {
        try {
            reader.wrap(bytes, offset, length);
            return decodeBody(reader.header().templateId());
        } catch (final IndexOutOfBoundsException | IllegalArgumentException | IllegalStateException ex) {
            throw new MalformedFrameException("frame of " + length + " bytes cannot be decoded", ex);
        }
    }

    private PeerMessage decodeBody(final int templateId) {
        return switch (templateId) {
            case HeartbeatFrameDecoder.TEMPLATE_ID -> HeartbeatFrameCodec.decodeHeartbeat(reader);
            case VoteRequestFrameDecoder.TEMPLATE_ID -> ElectionFrameCodec.decodeVoteRequest(reader);
            case VoteReplyFrameDecoder.TEMPLATE_ID -> ElectionFrameCodec.decodeVoteReply(reader);
            case TimeoutNowFrameDecoder.TEMPLATE_ID -> ElectionFrameCodec.decodeTimeoutNow(reader);
            case PullFrameDecoder.TEMPLATE_ID -> ReplicationFrameCodec.decodePull(reader);
            case PullReplyFrameDecoder.TEMPLATE_ID -> ReplicationFrameCodec.decodePullReply(reader);
            case PublishFrameDecoder.TEMPLATE_ID -> TopicFrameCodec.decodePublish(reader);
            case PublishReplyFrameDecoder.TEMPLATE_ID -> TopicFrameCodec.decodePublishReply(reader);
            case FetchFrameDecoder.TEMPLATE_ID -> TopicFrameCodec.decodeFetch(reader);
            case FetchReplyFrameDecoder.TEMPLATE_ID -> TopicFrameCodec.decodeFetchReply(reader);
            case ConfigurationPollFrameDecoder.TEMPLATE_ID -> ConfigurationFrameCodec.decodePoll(reader);
            case ConfigurationReplyFrameDecoder.TEMPLATE_ID -> ConfigurationFrameCodec.decodeReply(reader);
            case ControlRequestFrameDecoder.TEMPLATE_ID -> ControlFrameCodec.decodeRequest(reader);
            case ControlReplyFrameDecoder.TEMPLATE_ID -> ControlFrameCodec.decodeReply(reader);
            case ListenerReportFrameDecoder.TEMPLATE_ID -> ListenerFrameCodec.decodeReport(reader);
            case ListenerCountRequestFrameDecoder.TEMPLATE_ID -> ListenerFrameCodec.decodeCountRequest(reader);
            case ListenerCountReplyFrameDecoder.TEMPLATE_ID -> ListenerFrameCodec.decodeCountReply(reader);
            default -> throw new MalformedFrameException("unknown template id " + templateId);
        };
    }
}
