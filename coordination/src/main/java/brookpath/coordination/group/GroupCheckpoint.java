package brookpath.coordination.group;

import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The state of one group as entries of the write-ahead log: writes all of it for a checkpoint, and restores it entry by
 * entry at the start. Not thread-safe: the group's state thread owns it.
 */
final class GroupCheckpoint {
    private final int group;
    private final GroupStateMachine machine;
    /** The snapshot that is being replayed, null for none; the process may have ended before all of it was synced. */
    private LogSnapshot.Assembly incomplete;

    GroupCheckpoint(final int group, final GroupStateMachine machine) {
        this.group = group;
        this.machine = machine;
    }

    /** See {@link GroupMachine#replay}. */
    void replay(final PackedBuffer in, final long now) {
        final long code = in.getLong();
        final GroupEntryKind kind = GroupEntryKind.ofCode(code);
        if (kind == null) {
            throw new IllegalStateException("group " + group + ": unknown entry kind " + code);
        }
        if (kind != GroupEntryKind.SNAPSHOT_RECORDS) {
            incomplete = null;
        }
        replay(kind, in, now);
        machine.log.recovered();
    }

    private void replay(final GroupEntryKind kind, final PackedBuffer in, final long now) {
        switch (kind) {
            case RECORD -> {
                final LogRecord logRecord = LogRecord.wrap(in.getBytes(), now);
                machine.log.replay(logRecord);
                machine.voteStore.replayRecordOf(logRecord.term());
            }
            case TRUNCATE -> machine.log.replayTruncate(in.getLong());
            case VOTE -> machine.voteStore.replay(in.getLong(), (int) in.getLong());
            case INITIALISED -> machine.recovery.replay(in.getLong() == 1);
            case SNAPSHOT -> machine.log.replaySnapshot(LogSnapshot.decode(in.skipBytes(Integer.BYTES), now), now);
            case SNAPSHOT_BASE -> incomplete = new LogSnapshot.Assembly(in);
            case SNAPSHOT_RECORDS -> replaySnapshotRecords(in, now);
            case AGES -> machine.log.replayAges(RecordAges.load(in), now);
        }
    }

    private void replaySnapshotRecords(final PackedBuffer in, final long now) {
        if (incomplete == null) {
            throw new IllegalStateException("group " + group + ": records of a snapshot without its base");
        }
        incomplete.add(in, now);
        final LogSnapshot complete = incomplete.complete();
        if (complete != null) {
            incomplete = null;
            machine.log.replaySnapshot(complete, now);
        }
    }

    /** Drops a snapshot of which not all records were on disk: it never took effect. */
    void endReplay() {
        incomplete = null;
    }

    /** See {@link GroupMachine#checkpoint}. */
    List<ChunkedBuffer> entries(final long now) {
        final List<ChunkedBuffer> entries = new ArrayList<>();
        entries.add(ChunkedBuffer.of(machine.voteStore.entry()));
        if (machine.recovery.isInitialised()) {
            entries.add(ChunkedBuffer.of(machine.recovery.entry()));
        }
        entries.addAll(machine.log.snapshot().entries(group));
        final RecordAges ages = machine.log.ages(now);
        if (!ages.isEmpty()) {
            final PackedBuffer entry = GroupEntryKind.AGES.entry(group);
            ages.save(entry);
            entries.add(ChunkedBuffer.of(entry.toByteArray()));
        }
        return entries;
    }
}
