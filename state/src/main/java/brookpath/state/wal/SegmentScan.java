package brookpath.state.wal;

import static java.nio.ByteOrder.LITTLE_ENDIAN;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What one file of the log holds.
 *
 * @param entries those before the first hole, without the sync marks
 * @param tornAt where a torn tail begins, {@link #NOT_TORN} where there is none
 * @param damage what is wrong with bytes that had been synced, null for nothing
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
                return endingAt(name, file, position, entries);
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
     * Writes after the last sync may be missing or torn one by one, so a hole with complete entries behind it is no
     * damage unless one of those records that the hole had been synced.
     */
    private static SegmentScan endingAt(
            final String name, final ByteBuffer file, final int hole, final List<byte[]> entries) {
        return provenSynced(file, hole)
                ? new SegmentScan(entries, NOT_TORN, name + ": bad checksum at byte " + hole)
                : new SegmentScan(entries, hole, null);
    }

    /**
     * Whether a complete entry behind the position records that the position was synced before that entry was written.
     */
    private static boolean provenSynced(final ByteBuffer file, final int hole) {
        for (int position = hole + 1; position <= file.capacity() - EntryFormat.HEADER_BYTES; position++) {
            if (EntryFormat.syncedAt(file, position) > hole
                    && EntryFormat.lengthAt(file, position) != EntryFormat.NO_ENTRY) {
                return true;
            }
        }
        return false;
    }
}
