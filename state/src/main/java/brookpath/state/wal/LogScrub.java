package brookpath.state.wal;

import brookpath.state.disk.Disk;

/**
 * One pass over the snapshot and the segment in use that verifies their checksums in slices, so that it neither takes
 * memory in proportion to them nor delays writes for long. Not thread-safe: the owner of the log calls it between
 * writes, and ends it when the log rolls.
 */
final class LogScrub implements AutoCloseable {
    private final Disk disk;
    private final String segmentName;
    private SnapshotScan snapshot;
    private long snapshotBytes;
    private BlockReader segment;
    private long segmentPosition;

    LogScrub(final Disk disk, final long number) {
        this.disk = disk;
        segmentName = LogFiles.segment(number);
        // The snapshot in use may still be one that an earlier release wrote
        for (final String name : disk.list()) {
            if (LogFiles.isSnapshot(name) && !LogFiles.isTemporary(name) && LogFiles.number(name) == number) {
                snapshot = new SnapshotScan(disk, name);
            }
        }
    }

    /** How many bytes were verified so far. */
    long verifiedBytes() {
        return snapshotBytes + segmentPosition;
    }

    /** Verifies entries of at least this size in all, unless the pass ends before. */
    WriteAheadLog.ScrubState verify(final long sliceBytes) {
        final long start = verifiedBytes();
        while (verifiedBytes() - start < sliceBytes) {
            final WriteAheadLog.ScrubState state = snapshot != null ? verifySnapshotEntry() : verifySegmentEntry();
            if (state != WriteAheadLog.ScrubState.IN_PROGRESS) {
                return state;
            }
        }
        return WriteAheadLog.ScrubState.IN_PROGRESS;
    }

    private WriteAheadLog.ScrubState verifySnapshotEntry() {
        final boolean more = snapshot.next();
        snapshotBytes = snapshot.position();
        if (snapshot.damage() != null) {
            return WriteAheadLog.ScrubState.DAMAGED;
        }
        if (!more) {
            snapshot.close();
            snapshot = null;
        }
        return WriteAheadLog.ScrubState.IN_PROGRESS;
    }

    private WriteAheadLog.ScrubState verifySegmentEntry() {
        segment = segment == null ? new BlockReader(disk, segmentName) : segment;
        if (segmentPosition == segment.size()) {
            return WriteAheadLog.ScrubState.INTACT;
        }
        final int length = EntryFormat.lengthAt(segment, segmentPosition);
        if (length == EntryFormat.NO_ENTRY) {
            return WriteAheadLog.ScrubState.DAMAGED;
        }
        segmentPosition += EntryFormat.HEADER_BYTES + length;
        return WriteAheadLog.ScrubState.IN_PROGRESS;
    }

    @Override
    public void close() {
        if (snapshot != null) {
            snapshot.close();
        }
        if (segment != null) {
            segment.close();
        }
    }
}
