package brookpath.protocol.frame;

import static brookpath.protocol.frame.FrameReader.isSet;
import static brookpath.protocol.frame.FrameWriter.flag;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.sbe.PullFrameDecoder;
import brookpath.protocol.sbe.PullFrameEncoder;
import brookpath.protocol.sbe.PullReplyFrameDecoder;
import brookpath.protocol.sbe.PullReplyFrameEncoder;
import brookpath.state.record.LogRecord;
import java.util.ArrayList;
import java.util.List;

/** Pull requests of followers for a log, and the replies with records or a part of a snapshot. */
final class ReplicationFrameCodec {
    private ReplicationFrameCodec() {}

    static int encode(final PeerMessage.Pull request, final FrameWriter writer) {
        return new PullFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .group(request.group())
                .groupVersion(request.groupVersion())
                .term(request.term())
                .nextIndex(request.nextIndex())
                .prevTerm(request.prevTerm())
                .syncedIndex(request.syncedIndex())
                .syncedTerm(request.syncedTerm())
                .committed(request.committed())
                .lost(flag(request.lost()))
                .chain(request.chain())
                .snapshotSum(request.snapshotSum())
                .snapshotOffset(request.snapshotOffset())
                .encodedLength();
    }

    static PeerMessage.Pull decodePull(final FrameReader reader) {
        final PullFrameDecoder frame = new PullFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        return new PeerMessage.Pull(
                frame.group(),
                frame.groupVersion(),
                frame.term(),
                frame.nextIndex(),
                frame.prevTerm(),
                frame.syncedIndex(),
                frame.syncedTerm(),
                frame.committed(),
                isSet(frame.lost()),
                frame.chain(),
                frame.snapshotSum(),
                frame.snapshotOffset());
    }

    static int encode(final PeerMessage.PullReply reply, final FrameWriter writer) {
        final PullReplyFrameEncoder frame = new PullReplyFrameEncoder()
                .wrapAndApplyHeader(writer.buffer(), 0, writer.header())
                .group(reply.group())
                .groupVersion(reply.groupVersion())
                .term(reply.term())
                .kind((short) reply.kind())
                .standing((short) reply.standing())
                .committed(reply.committed())
                .askedIndex(reply.askedIndex())
                .askedTerm(reply.askedTerm())
                .tryIndex(reply.tryIndex())
                .snapshotSum(reply.snapshotSum())
                .snapshotTotal(reply.snapshotTotal())
                .snapshotOffset(reply.snapshotOffset());
        final PullReplyFrameEncoder.RecordsEncoder records =
                frame.recordsCount(reply.records().size());
        for (final LogRecord record : reply.records()) {
            records.next().putRecord(record.bytes(), 0, record.bytes().length);
        }
        return frame.putSnapshot(reply.snapshot(), 0, reply.snapshot().length).encodedLength();
    }

    static PeerMessage.PullReply decodePullReply(final FrameReader reader) {
        final PullReplyFrameDecoder frame =
                new PullReplyFrameDecoder().wrapAndApplyHeader(reader.buffer(), 0, reader.header());
        final List<LogRecord> records = new ArrayList<>();
        for (final PullReplyFrameDecoder.RecordsDecoder record : frame.records()) {
            records.add(reader.readRecord(record.recordLength(), record::getRecord));
        }
        return new PeerMessage.PullReply(
                frame.group(),
                frame.groupVersion(),
                frame.term(),
                frame.kind(),
                frame.standing(),
                frame.committed(),
                frame.askedIndex(),
                frame.askedTerm(),
                frame.tryIndex(),
                reader.readBytes(frame.snapshotLength(), frame::getSnapshot),
                records,
                frame.snapshotSum(),
                frame.snapshotTotal(),
                frame.snapshotOffset());
    }
}
