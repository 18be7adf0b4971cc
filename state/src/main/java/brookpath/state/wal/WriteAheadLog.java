package brookpath.state.wal;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.state.disk.DiskFullException;
import brookpath.state.record.ChunkedBuffer;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The segmented write-ahead log of one process, with snapshots: {@code seg-N} holds the entries written since
 * {@code snap-N}. Only entries appended before a {@link #sync} are guaranteed to survive a power loss. Not thread-safe;
 * one thread owns it.
 */
public final class WriteAheadLog {
    /** The largest entry or snapshot in bytes, without the header that precedes it in a file. */
    public static final int MAX_ENTRY_BYTES = 64 << 20;

    private static final int BLOCK_BYTES = 128 << 10;

    private static final byte[] SYNC_MARK = new byte[0];

    /**
     * The result of a recovery. A damaged folder is emptied and yields no entries: its owner rejoins its groups as a
     * member that has lost its disk.
     *
     * @param writeAheadLog the recovered log, ready to append
     * @param snapshot the newest snapshot, null if there is none
     * @param entries the entries of the segment after that snapshot
     * @param findings what an operator should know, one line each
     * @param damaged whether synced data was damaged or missing
     */
    public record Recovery(
            WriteAheadLog writeAheadLog,
            byte[] snapshot,
            List<byte[]> entries,
            List<String> findings,
            boolean damaged) {
        /** Returns the entries packed in the snapshot, then those of the segment, in the order of replay. */
        public List<byte[]> allEntries() {
            return LogRecovery.allEntries(snapshot, entries);
        }
    }

    /**
     * The contents of a folder.
     *
     * @param snapshotName empty if there is no snapshot
     * @param snapshot null if there is none, or if it is unreadable
     */
    public record Inspection(
            String snapshotName, byte[] snapshot, String segmentName, List<byte[]> entries, List<String> findings) {
        /** Returns the entries packed in the snapshot, then those of the segment, in the order of replay. */
        public List<byte[]> allEntries() {
            return LogRecovery.allEntries(snapshot, entries);
        }
    }

    private final Disk disk;
    private long segment;
    private DiskFile file;
    private long segmentSize;
    private long syncedSize;

    /** Opens a segment to append after its last entry. */
    WriteAheadLog(final Disk disk, final long segment) {
        this.disk = disk;
        this.segment = segment;
        file = disk.open(LogFiles.segment(segment));
        segmentSize = file.size();
        syncedSize = segmentSize;
        disk.syncFolder();
    }

    /**
     * Reads the folder, truncates a torn tail and opens the log to append. Succeeds on a full disk, except in a folder
     * that has no log yet, where it throws {@link DiskFullException}. Throws {@link CorruptLogException} if the name of
     * a segment or snapshot has no number.
     */
    public static Recovery recover(final Disk disk) {
        return LogRecovery.recover(disk);
    }

    /** Reads a folder without changing anything in it. */
    public static Inspection inspect(final Disk disk) {
        return LogRecovery.inspect(disk);
    }

    /** Appends an entry. Throws {@link DiskFullException} if the disk is full; the segment is then unchanged. */
    public void append(final byte[] entry) {
        write(entry);
    }

    private void write(final byte[] entry) {
        final byte[] encoded = EntryFormat.encode(entry, syncedSize);
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
                write(SYNC_MARK);
            } catch (final DiskFullException ex) {
                // The sync is valid without its mark, since the next entry records the synced size as well.
                return;
            }
        }
    }

    /**
     * Reads back the current segment and its snapshot and verifies their checksums; false if the disk does not return
     * valid data.
     */
    public boolean isIntact() {
        final SegmentScan scan = SegmentScan.of(disk, LogFiles.segment(segment));
        if (scan.isDamaged() || scan.isTorn()) {
            return false;
        }
        final String snapshot = LogFiles.snapshot(segment);
        return !disk.list().contains(snapshot) || SegmentScan.of(disk, snapshot).isSnapshot();
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
        final DiskFile nextFile = prepareSegment(next, snapshot);
        disk.syncFolder();
        file.close();
        segment = next;
        file = nextFile;
        segmentSize = 0;
        syncedSize = 0;
        deleteOlderThan(next);
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
            writeSnapshot(snapshotFile, snapshot);
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

    /** Writes the snapshot as one entry, in blocks of {@link #BLOCK_BYTES}. */
    private static void writeSnapshot(final DiskFile snapshotFile, final ChunkedBuffer snapshot) {
        final ByteBuffer block = ByteBuffer.allocate(BLOCK_BYTES);
        block.put(EntryFormat.encodeHeader(snapshot, 0));
        for (final byte[] chunk : snapshot.chunks()) {
            int written = 0;
            while (written < chunk.length) {
                final int length = Math.min(block.remaining(), chunk.length - written);
                block.put(chunk, written, length);
                written += length;
                if (!block.hasRemaining()) {
                    snapshotFile.append(block.array(), 0, block.position());
                    block.clear();
                }
            }
        }
        snapshotFile.append(block.array(), 0, block.position());
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
