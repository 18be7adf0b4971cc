package brookpath.protocol.frame;

import static brookpath.protocol.frame.FrameReader.isSet;
import static brookpath.protocol.frame.FrameWriter.flag;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.sbe.HeartbeatFrameDecoder;
import brookpath.protocol.sbe.HeartbeatFrameEncoder;
import java.util.ArrayList;
import java.util.List;

/** Heartbeats, which carry the state of each of the sender's groups. */
final class HeartbeatFrameCodec {
    /**
     * The bits of the field reply. An earlier release takes any value but 1 for a heartbeat, so replies do not have the
     * second one set.
     */
    private static final int REPLY = 1;

    private static final int HISTORY_FULL = 2;

    private HeartbeatFrameCodec() {}

    private static short bits(final PeerMessage.Heartbeat heartbeat) {
        return (short) ((heartbeat.reply() ? REPLY : 0) | (heartbeat.historyFull() ? HISTORY_FULL : 0));
    }

    static int encode(final PeerMessage.Heartbeat heartbeat, final FrameWriter writer) {
        final HeartbeatFrameEncoder frame = new HeartbeatFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .reply(bits(heartbeat))
                .id(heartbeat.id())
                .stamp(heartbeat.stamp())
                .known(heartbeat.knownDigest())
                .same(flag(heartbeat.entriesOmitted()));
        final HeartbeatFrameEncoder.EntriesEncoder entries =
                frame.entriesCount(heartbeat.entries().size());
        for (final PeerMessage.HeartbeatEntry entry : heartbeat.entries()) {
            entries.next()
                    .group(entry.group())
                    .groupVersion(entry.groupVersion())
                    .term(entry.term())
                    .role((short) entry.role())
                    .sync((short) entry.sync())
                    .startIndex(entry.startIndex())
                    .endIndex(entry.endIndex())
                    .endTerm(entry.endTerm())
                    .committed(entry.committed())
                    .leaderHeard(entry.leaderHeard())
                    .weight(entry.weight());
        }
        return frame.encodedLength();
    }

    static PeerMessage.Heartbeat decodeHeartbeat(final FrameReader reader) {
        final HeartbeatFrameDecoder frame =
                new HeartbeatFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        final short bits = frame.reply();
        final long knownDigest = frame.known();
        final boolean entriesOmitted = isSet(frame.same());
        final List<PeerMessage.HeartbeatEntry> entries = new ArrayList<>();
        for (final HeartbeatFrameDecoder.EntriesDecoder entry : frame.entries()) {
            entries.add(new PeerMessage.HeartbeatEntry(
                    entry.group(),
                    entry.groupVersion(),
                    entry.term(),
                    entry.role(),
                    entry.sync(),
                    entry.startIndex(),
                    entry.endIndex(),
                    entry.endTerm(),
                    entry.committed(),
                    entry.leaderHeard(),
                    entry.weight()));
        }
        return new PeerMessage.Heartbeat(
                (bits & REPLY) != 0,
                frame.id(),
                frame.stamp(),
                knownDigest,
                entriesOmitted,
                List.copyOf(entries),
                (bits & HISTORY_FULL) != 0);
    }
}
