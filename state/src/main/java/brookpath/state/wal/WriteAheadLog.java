package brookpath.state.wal;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.state.disk.DiskFullException;
import java.util.List;

/**
 * The segmented log of one process, with snapshots beside it: {@code seg-N} holds the entries written since
 * {@code snap-N}. Only what was appended before a {@link #sync} survives a loss of power. Not thread-safe; one thread
 * owns it.
 */
public final class WriteAheadLog {
    /** The largest entry or snapshot, in bytes. */
    public static final int MAX_ENTRY_BYTES = 64 << 20;

    private static final byte[] SYNC_MARK = new byte[0];

    /**
     * What recovery found. A damaged folder yields no entries: its owner comes back as a member without a disk.
     *
     * @param snapshot null where there is none
     * @param findings what an operator should know, one line each
     */
    public record Recovery(
            WriteAheadLog writeAheadLog,
            byte[] snapshot,
            List<byte[]> entries,
            List<String> findings,
            boolean damaged) {
        /** The entries that the snapshot packs, then those of the segment: what an owner replays. */
        public List<byte[]> allEntries() {
            return LogRecovery.allEntries(snapshot, entries);
        }
    }

    /**
     * What a folder holds.
     *
     * @param snapshotName empty where there is no snapshot
     * @param snapshot null where there is none that can be read
     */
    public record Inspection(
            String snapshotName, byte[] snapshot, String segmentName, List<byte[]> entries, List<String> findings) {
        /** The entries that the snapshot packs, then those of the segment. */
        public List<byte[]> allEntries() {
            return LogRecovery.allEntries(snapshot, entries);
        }
    }

    private final Disk disk;
    private long segment;
    private DiskFile file;
    private long size;
    private long synced;

    /** Opens a segment for appending behind what it holds. */
    WriteAheadLog(final Disk disk, final long segment) {
        this.disk = disk;
        this.segment = segment;
        file = disk.open(LogFiles.segment(segment));
        size = file.size();
        synced = size;
        disk.syncFolder();
    }

    /**
     * Reads what the folder holds, cuts a torn tail, and opens the log to go on. A full disk is no hindrance, except
     * for the first file of an empty folder. Throws {@link CorruptLogException} where a file has a name that no log
     * gave it.
     */
    public static Recovery recover(final Disk disk) {
        return LogRecovery.recover(disk);
    }

    /** Reads what a folder holds, without changing anything in it. */
    public static Inspection inspect(final Disk disk) {
        return LogRecovery.inspect(disk);
    }

    /** Throws {@link DiskFullException} where there is no room; the entry is then not in the segment. */
    public void append(final byte[] entry) {
        put(entry);
    }

    private void put(final byte[] entry) {
        final byte[] framed = EntryFormat.encode(entry, synced);
        try {
            file.append(framed, 0, framed.length);
        } catch (final DiskFullException ex) {
            // why: the part of it that did fit must not lie before the entries that follow
            file.truncate(size);
            throw ex;
        }
        size += framed.length;
    }

    /**
     * Makes durable what was appended before. A mark follows, so that recovery can distinguish damage from a torn tail.
     */
    public void sync() {
        if (size > synced) {
            file.sync();
            synced = size;
            try {
                put(SYNC_MARK);
            } catch (final DiskFullException ex) {
                // why: the sync is valid without its mark; the next entry records as well how much was synced
                return;
            }
        }
    }

    /**
     * Reads back what was written since the last snapshot, and that snapshot; false where the disk gives back something
     * else.
     */
    public boolean isIntact() {
        final SegmentScan scan = SegmentScan.of(disk, LogFiles.segment(segment));
        if (scan.isDamaged() || scan.isTorn()) {
            return false;
        }
        final String snapshot = LogFiles.snapshot(segment);
        return !disk.list().contains(snapshot) || SegmentScan.of(disk, snapshot).isSnapshot();
    }

    /** The size of the present segment. */
    public long segmentBytes() {
        return size;
    }

    /**
     * Starts a new segment that begins with the given snapshot, and deletes everything older. Throws
     * {@link DiskFullException} where there is no room for the snapshot beside what is there; the present segment then
     * stays in use.
     */
    public void roll(final byte[] snapshot) {
        final long next = segment + 1;
        final DiskFile nextFile = prepare(next, snapshot);
        disk.syncFolder();
        file.close();
        segment = next;
        file = nextFile;
        size = 0;
        synced = 0;
        deleteBefore(next);
    }

    /**
     * Everything that needs space: the snapshot, renamed once it is complete, and the empty segment that follows it.
     */
    private DiskFile prepare(final long next, final byte[] snapshot) {
        final String temporaryName = LogFiles.temporarySnapshot(next);
        DiskFile temporary = null;
        DiskFile nextFile = null;
        try {
            temporary = disk.open(temporaryName);
            temporary.truncate(0);
            final byte[] framed = EntryFormat.encode(snapshot, 0);
            temporary.append(framed, 0, framed.length);
            temporary.sync();
            // why: once the snapshot has its name recovery relies on it, so the segment after it must exist before
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
            if (temporary != null) {
                temporary.close();
            }
        }
    }

    /** Deletes the segments and snapshots with a smaller number. */
    void deleteBefore(final long keep) {
        for (final String name : disk.list()) {
            if ((LogFiles.isSegment(name) || LogFiles.isSnapshot(name)) && LogFiles.number(name) < keep) {
                disk.delete(name);
            }
        }
    }
}
