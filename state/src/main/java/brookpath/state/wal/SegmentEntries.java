package brookpath.state.wal;

import brookpath.state.disk.Disk;

/** Reads the entries of a verified segment in order, one at a time. Not thread-safe. */
final class SegmentEntries implements AutoCloseable {
    private final BlockReader file;
    private final long end;
    private long position;

    SegmentEntries(final Disk disk, final SegmentScan scan) {
        file = new BlockReader(disk, scan.name());
        end = scan.end();
    }

    /** Reads the next entry that is not a sync mark; null after the last one. */
    byte[] next() {
        while (position < end) {
            final long payload = position + EntryFormat.HEADER_BYTES;
            final int length = file.getInt(position);
            position = payload + length;
            if (length > 0) {
                final byte[] entry = new byte[length];
                file.read(payload, entry);
                return entry;
            }
        }
        return null;
    }

    @Override
    public void close() {
        file.close();
    }
}
