package brookpath.state.wal;

import brookpath.state.disk.Disk;
import java.util.AbstractCollection;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;

/**
 * The verified contents of a log on disk: a snapshot and the segment after it. Entries are read from disk each time
 * they are iterated over, so that only one of them is in memory at a time. Valid until the log rolls. Not thread-safe.
 */
public final class LogContents {
    private final Disk disk;
    private final SnapshotScan snapshot;
    private final SegmentScan segment;

    /**
     * @param snapshot null if there is none
     * @param segment null if there is none
     */
    LogContents(final Disk disk, final SnapshotScan snapshot, final SegmentScan segment) {
        this.disk = disk;
        this.snapshot = snapshot;
        this.segment = segment;
    }

    /** Reads the complete snapshot; null if there is none. */
    byte[] readSnapshot() {
        if (snapshot == null) {
            return null;
        }
        try (SnapshotContents contents = new SnapshotContents(disk, snapshot)) {
            return contents.readRemaining();
        }
    }

    /** The size of the snapshot's contents in bytes, 0 if there is none. */
    long snapshotBytes() {
        return snapshot == null ? 0 : snapshot.contentBytes();
    }

    /** Reads the entries of the segment. */
    List<byte[]> readSegment() {
        return segment == null ? List.of() : segment.entries(disk);
    }

    /** The entries packed in the snapshot, then those of the segment, in the order of replay. */
    Collection<byte[]> allEntries() {
        return new AllEntries();
    }

    private final class AllEntries extends AbstractCollection<byte[]> {
        @Override
        public Iterator<byte[]> iterator() {
            return new EntryIterator();
        }

        @Override
        public int size() {
            return snapshotFields() + readSegment().size();
        }

        private int snapshotFields() {
            int fields = 0;
            if (snapshot != null) {
                try (SnapshotContents contents = new SnapshotContents(disk, snapshot)) {
                    while (contents.hasRemaining()) {
                        contents.skipField();
                        fields++;
                    }
                }
            }
            return fields;
        }

        @Override
        public boolean isEmpty() {
            return snapshotBytes() == 0 && readSegment().isEmpty();
        }
    }

    /** Closes each file once its last entry was read. */
    private final class EntryIterator implements Iterator<byte[]> {
        private SnapshotContents fields;
        private SegmentEntries entries;
        private byte[] next;

        EntryIterator() {
            fields = snapshot == null ? null : new SnapshotContents(disk, snapshot);
            next = read();
        }

        private byte[] read() {
            if (fields != null && fields.hasRemaining()) {
                return fields.readField();
            }
            if (fields != null) {
                fields.close();
                fields = null;
            }
            return readSegmentEntry();
        }

        private byte[] readSegmentEntry() {
            if (segment == null) {
                return null;
            }
            entries = entries == null ? new SegmentEntries(disk, segment) : entries;
            final byte[] entry = entries.next();
            if (entry == null) {
                entries.close();
            }
            return entry;
        }

        @Override
        public boolean hasNext() {
            return next != null;
        }

        @Override
        public byte[] next() {
            if (next == null) {
                throw new NoSuchElementException();
            }
            final byte[] entry = next;
            next = read();
            return entry;
        }
    }
}
