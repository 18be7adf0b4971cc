package brookpath.state.wal;

import brookpath.state.disk.Disk;
import java.util.ArrayList;
import java.util.List;

/**
 * The result of verifying one segment of the log.
 *
 * @param end the first position that no valid entry covers; the size of the file if all of it is valid
 * @param tornAt the offset at which a torn tail begins, {@link #NOT_TORN} if there is none
 * @param damage the damage to synced bytes, null if there is none
 */
record SegmentScan(String name, long end, long tornAt, LogDamage damage) {
    static final long NOT_TORN = -1;

    static SegmentScan of(final Disk disk, final String name) {
        try (BlockReader file = new BlockReader(disk, name)) {
            long position = 0;
            while (position < file.size()) {
                final int length = EntryFormat.lengthAt(file, position);
                if (length == EntryFormat.NO_ENTRY) {
                    return endingAt(name, file, position);
                }
                position += EntryFormat.HEADER_BYTES + length;
            }
            return new SegmentScan(name, position, NOT_TORN, null);
        }
    }

    boolean isTorn() {
        return tornAt != NOT_TORN;
    }

    boolean isDamaged() {
        return damage != null;
    }

    /** Reads the valid entries, without the sync marks. */
    List<byte[]> entries(final Disk disk) {
        final List<byte[]> entries = new ArrayList<>();
        try (SegmentEntries reader = new SegmentEntries(disk, this)) {
            for (byte[] entry = reader.next(); entry != null; entry = reader.next()) {
                entries.add(entry);
            }
        }
        return entries;
    }

    /**
     * After a power loss, each write since the last sync may be complete, torn or missing. Valid entries may therefore
     * follow an invalid position, which is damage only if one of them records that it had been synced.
     */
    private static SegmentScan endingAt(final String name, final BlockReader file, final long invalidAt) {
        return wasSynced(file, invalidAt)
                ? new SegmentScan(
                        name, invalidAt, NOT_TORN, new LogDamage(name, invalidAt, LogDamage.Kind.BAD_CHECKSUM))
                : new SegmentScan(name, invalidAt, invalidAt, null);
    }

    /**
     * Whether a valid entry after the position records that the position had been synced when that entry was written.
     */
    private static boolean wasSynced(final BlockReader file, final long invalidAt) {
        for (long position = invalidAt + 1; position <= file.size() - EntryFormat.HEADER_BYTES; position++) {
            if (EntryFormat.syncedAt(file, position) > invalidAt
                    && EntryFormat.lengthAt(file, position) != EntryFormat.NO_ENTRY) {
                return true;
            }
        }
        return false;
    }
}
