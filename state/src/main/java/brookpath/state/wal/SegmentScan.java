package brookpath.state.wal;

import static java.nio.ByteOrder.LITTLE_ENDIAN;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The contents of one file of the log.
 *
 * @param entries the entries before the first invalid position, without the sync marks
 * @param tornAt the offset at which a torn tail begins, {@link #NOT_TORN} if there is none
 * @param damage a description of damage to synced bytes, null if there is none
 */
record SegmentScan(List<byte[]> entries, long tornAt, String damage) {
    static final long NOT_TORN = -1;

    static SegmentScan of(final Disk disk, final String name) {
        final byte[] bytes = readAll(disk, name);
        final ByteBuffer file = ByteBuffer.wrap(bytes).order(LITTLE_ENDIAN);
        final List<byte[]> entries = new ArrayList<>();
        int position = 0;
        while (position < bytes.length) {
            final int length = EntryFormat.lengthAt(file, position);
            if (length == EntryFormat.NO_ENTRY) {
                return scanEndingAt(name, file, position, entries);
            }
            final int start = position + EntryFormat.HEADER_BYTES;
            if (length > 0) {
                entries.add(Arrays.copyOfRange(bytes, start, start + length));
            }
            position = start + length;
        }
        return new SegmentScan(entries, NOT_TORN, null);
    }

    boolean isTorn() {
        return tornAt != NOT_TORN;
    }

    boolean isDamaged() {
        return damage != null;
    }

    /** Whether the file is a complete snapshot: one entry and nothing else. */
    boolean isSnapshot() {
        return entries.size() == 1 && !isTorn() && !isDamaged();
    }

    private static byte[] readAll(final Disk disk, final String name) {
        final DiskFile file = disk.open(name);
        final byte[] bytes = file.readAll();
        file.close();
        return bytes;
    }

    /**
     * After a power loss, each write since the last sync may be complete, torn or missing. Valid entries may therefore
     * follow an invalid position, which is damage only if one of them records that it had been synced.
     */
    private static SegmentScan scanEndingAt(
            final String name, final ByteBuffer file, final int invalidAt, final List<byte[]> entries) {
        return wasSynced(file, invalidAt)
                ? new SegmentScan(entries, NOT_TORN, name + ": bad checksum at byte " + invalidAt)
                : new SegmentScan(entries, invalidAt, null);
    }

    /**
     * Whether a valid entry after the position records that the position had been synced when that entry was written.
     */
    private static boolean wasSynced(final ByteBuffer file, final int invalidAt) {
        for (int position = invalidAt + 1; position <= file.capacity() - EntryFormat.HEADER_BYTES; position++) {
            if (EntryFormat.syncedAt(file, position) > invalidAt
                    && EntryFormat.lengthAt(file, position) != EntryFormat.NO_ENTRY) {
                return true;
            }
        }
        return false;
    }
}
