package brookpath.state.wal;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.state.disk.DiskFullException;
import brookpath.state.record.ChunkedBuffer;
import java.util.Collection;
import java.util.List;

/**
 * The segmented write-ahead log of one process, with snapshots: {@code seg-N} holds the entries written since
 * {@code snap-N.parts}. Only entries appended before a {@link #sync} are guaranteed to survive a power loss. A snapshot
 * may have any size: it is written and read in parts. Not thread-safe; one thread owns it.
 */
public final class WriteAheadLog {
    /** The largest entry that may be appended, in bytes, without the header that precedes it in a file. */
    public static final int MAX_ENTRY_BYTES = 64 << 20;

    private static final byte[] SYNC_MARK = new byte[0];

    /** How far a pass of the scrub has come. */
    public enum ScrubState {
        /** More slices follow. */
        IN_PROGRESS,
        /** The pass is complete, and all that was read is valid. */
        INTACT,
        /** The disk does not return valid data. */
        DAMAGED
    }

    /**
     * The result of a recovery. The files of a damaged log are set aside, and yield no entries: their owner rejoins its
     * groups as a member that has lost its disk.
     *
     * @param writeAheadLog the recovered log, ready to append
     * @param contents what the log holds, valid until it rolls
     * @param findings what an operator should know, one line each
     * @param damaged whether synced data was damaged or missing
     */
    public record Recovery(WriteAheadLog writeAheadLog, LogContents contents, List<String> findings, boolean damaged) {
        /** Reads the newest snapshot completely; null if there is none. */
        public byte[] snapshot() {
            return contents.readSnapshot();
        }

        /** Reads the entries of the segment after that snapshot. */
        public List<byte[]> entries() {
            return contents.readSegment();
        }

        /**
         * The entries packed in the snapshot, then those of the segment, in the order of replay. Each iteration reads
         * them from disk, one at a time.
         */
        public Collection<byte[]> allEntries() {
            return contents.allEntries();
        }
    }

    /**
     * The contents of a folder. A snapshot that is unreadable counts as none, and is among the findings.
     *
     * @param snapshotName empty if there is no snapshot
     */
    public record Inspection(String snapshotName, String segmentName, LogContents contents, List<String> findings) {
        /** The size of the snapshot in bytes, 0 if there is none. */
        public long snapshotBytes() {
            return contents.snapshotBytes();
        }

        /** Reads the entries of the segment. */
        public List<byte[]> entries() {
            return contents.readSegment();
        }

        /** The entries packed in the snapshot, then those of the segment, in the order of replay. */
        public Collection<byte[]> allEntries() {
            return contents.allEntries();
        }
    }

    private final Disk disk;
    private long segment;
    private DiskFile file;
    private long segmentSize;
    private long syncedSize;
    /** The pass of the scrub that is in progress, null for none. */
    private LogScrub scrub;

    /** Opens a segment to append after its last entry. */
    WriteAheadLog(final Disk disk, final long segment) {
        this.disk = disk;
        this.segment = segment;
        file = disk.open(LogFiles.segment(segment));
        segmentSize = file.size();
        if (segmentSize > 0) {
            // A process that was killed may have left bytes that are not on disk yet; from now on they count as synced
            file.sync();
        }
        syncedSize = segmentSize;
        disk.syncFolder();
    }

    /**
     * Reads the folder, truncates a torn tail and opens the log to append. Succeeds on a full disk, except in a folder
     * that has no log yet, where it throws {@link DiskFullException}. Throws {@link CorruptLogException} if the name of
     * a segment or snapshot has no number.
     *
     * @param wallMs the time of day in milliseconds, which the names of files that are set aside contain
     */
    public static Recovery recover(final Disk disk, final long wallMs) {
        return LogRecovery.recover(disk, wallMs);
    }

    /** As {@link #recover(Disk, long)}, with 0 as the time of day. */
    public static Recovery recover(final Disk disk) {
        return recover(disk, 0);
    }

    /** Reads a folder without changing anything in it. */
    public static Inspection inspect(final Disk disk) {
        return LogRecovery.inspect(disk);
    }

    /**
     * Appends an entry. Throws {@link DiskFullException} if the disk is full, {@link EntryTooLargeException} if the
     * entry is larger than {@link #MAX_ENTRY_BYTES}; the segment is then unchanged.
     */
    public void append(final byte[] entry) {
        final byte[] encoded = EntryFormat.encode(entry, syncedSize);
        try {
            write(encoded);
        } catch (final DiskFullException ex) {
            if (!SetAsideFiles.deleteAll(disk)) {
                throw ex;
            }
            write(encoded);
        }
    }

    private void write(final byte[] encoded) {
        try {
            file.append(encoded, 0, encoded.length);
        } catch (final DiskFullException ex) {
            // Removes the partly written entry, so that later entries do not follow invalid bytes.
            file.truncate(segmentSize);
            throw ex;
        }
        segmentSize += encoded.length;
    }

    /**
     * Makes all appended entries durable. Then writes a sync mark, so that recovery can distinguish damage from a torn
     * tail.
     */
    public void sync() {
        if (segmentSize > syncedSize) {
            file.sync();
            syncedSize = segmentSize;
            try {
                write(EntryFormat.encode(SYNC_MARK, syncedSize));
            } catch (final DiskFullException ex) {
                // The sync is valid without its mark, since the next entry records the synced size as well.
                return;
            }
        }
    }

    /**
     * Reads back the current segment and its snapshot and verifies their checksums; false if the disk does not return
     * valid data. Reads everything at once: {@link #scrub} does the same in slices.
     */
    public boolean isIntact() {
        try (LogScrub pass = new LogScrub(disk, segment)) {
            return pass.verify(Long.MAX_VALUE) == ScrubState.INTACT;
        }
    }

    /**
     * Verifies the next slice of the current segment and its snapshot. A pass begins anew when the log has rolled,
     * since its files have then been replaced.
     *
     * @param sliceBytes about how many bytes to read
     */
    public ScrubState scrub(final long sliceBytes) {
        scrub = scrub == null ? new LogScrub(disk, segment) : scrub;
        final ScrubState state = scrub.verify(sliceBytes);
        if (state != ScrubState.IN_PROGRESS) {
            endScrub();
        }
        return state;
    }

    private void endScrub() {
        if (scrub != null) {
            scrub.close();
            scrub = null;
        }
    }

    /** The size of the current segment in bytes. */
    public long segmentBytes() {
        return segmentSize;
    }

    /**
     * Writes the given snapshot, starts a new segment after it and deletes the older files. Throws
     * {@link DiskFullException} if the disk has no space for the snapshot in addition to them; the current segment then
     * stays in use.
     */
    public void roll(final ChunkedBuffer snapshot) {
        final long next = segment + 1;
        final DiskFile nextFile = prepareSegmentInFreeSpace(next, snapshot);
        disk.syncFolder();
        endScrub();
        file.close();
        segment = next;
        file = nextFile;
        segmentSize = 0;
        syncedSize = 0;
        deleteOlderThan(next);
    }

    private DiskFile prepareSegmentInFreeSpace(final long next, final ChunkedBuffer snapshot) {
        try {
            return prepareSegment(next, snapshot);
        } catch (final DiskFullException ex) {
            if (!SetAsideFiles.deleteAll(disk)) {
                throw ex;
            }
            return prepareSegment(next, snapshot);
        }
    }

    /**
     * Writes the snapshot, creates the empty segment that follows it and then gives the snapshot its final name. These
     * are all the steps that need space.
     */
    private DiskFile prepareSegment(final long next, final ChunkedBuffer snapshot) {
        final String temporaryName = LogFiles.temporarySnapshot(next);
        DiskFile snapshotFile = null;
        DiskFile nextFile = null;
        try {
            snapshotFile = disk.open(temporaryName);
            snapshotFile.truncate(0);
            SnapshotWriter.write(snapshotFile, snapshot);
            snapshotFile.sync();
            // The segment must exist before the rename: recovery uses a snapshot as soon as it has its final name.
            nextFile = disk.open(LogFiles.segment(next));
            nextFile.truncate(0);
            disk.rename(temporaryName, LogFiles.snapshot(next));
            return nextFile;
        } catch (final DiskFullException ex) {
            if (nextFile != null) {
                nextFile.close();
                disk.delete(LogFiles.segment(next));
            }
            disk.delete(temporaryName);
            throw ex;
        } finally {
            if (snapshotFile != null) {
                snapshotFile.close();
            }
        }
    }

    /** Deletes the segments and snapshots with a number smaller than this. */
    void deleteOlderThan(final long number) {
        for (final String name : disk.list()) {
            if ((LogFiles.isSegment(name) || LogFiles.isSnapshot(name)) && LogFiles.number(name) < number) {
                disk.delete(name);
            }
        }
    }
}
