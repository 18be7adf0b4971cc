package brookpath.protocol.frame;

import static brookpath.protocol.frame.FrameReader.isSet;
import static brookpath.protocol.frame.FrameWriter.flag;
import static brookpath.protocol.frame.FrameWriter.utf8;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.sbe.ConfigurationPollFrameDecoder;
import brookpath.protocol.sbe.ConfigurationPollFrameEncoder;
import brookpath.protocol.sbe.ConfigurationReplyFrameDecoder;
import brookpath.protocol.sbe.ConfigurationReplyFrameEncoder;

/** Polls for the configuration and the cluster metadata, and the replies to them. */
final class ConfigurationFrameCodec {
    private ConfigurationFrameCodec() {}

    static int encode(final PeerMessage.ConfigurationPoll poll, final FrameWriter writer) {
        final byte[] zone = utf8(poll.zone());
        final byte[] address = utf8(poll.address());
        final byte[] name = utf8(poll.name());
        return new ConfigurationPollFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .pollId(poll.pollId())
                .node(poll.node())
                .role((short) poll.role())
                .configurationVersion(poll.configurationVersion())
                .metadataVersion(poll.metadataVersion())
                .drain(flag(poll.drain()))
                .relay(flag(poll.relay()))
                .wall(poll.wall())
                .machine(poll.machine())
                .putZone(zone, 0, zone.length)
                .putAddress(address, 0, address.length)
                .putName(name, 0, name.length)
                .encodedLength();
    }

    static PeerMessage.ConfigurationPoll decodePoll(final FrameReader reader) {
        final ConfigurationPollFrameDecoder frame =
                new ConfigurationPollFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.ConfigurationPoll(
                frame.pollId(),
                frame.node(),
                frame.role(),
                reader.readString(frame.zoneLength(), frame::getZone),
                reader.readString(frame.addressLength(), frame::getAddress),
                reader.readString(frame.nameLength(), frame::getName),
                frame.configurationVersion(),
                frame.metadataVersion(),
                isSet(frame.drain()),
                isSet(frame.relay()),
                frame.wall(),
                frame.machine());
    }

    static int encode(final PeerMessage.ConfigurationReply reply, final FrameWriter writer) {
        return new ConfigurationReplyFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .pollId(reply.pollId())
                .leader(flag(reply.leader()))
                .leaderHint(reply.leaderHint())
                .term(reply.term())
                .configurationVersion(reply.configurationVersion())
                .metadataVersion(reply.metadataVersion())
                .node(reply.node())
                .wall(reply.wall())
                .putConfiguration(reply.configuration(), 0, reply.configuration().length)
                .putMetadata(reply.metadata(), 0, reply.metadata().length)
                .encodedLength();
    }

    static PeerMessage.ConfigurationReply decodeReply(final FrameReader reader) {
        final ConfigurationReplyFrameDecoder frame =
                new ConfigurationReplyFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.ConfigurationReply(
                frame.pollId(),
                isSet(frame.leader()),
                frame.leaderHint(),
                frame.term(),
                frame.configurationVersion(),
                reader.readBytes(frame.configurationLength(), frame::getConfiguration),
                frame.metadataVersion(),
                reader.readBytes(frame.metadataLength(), frame::getMetadata),
                frame.node(),
                frame.wall());
    }
}
