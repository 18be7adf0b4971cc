package brookpath.state.wal;

import static java.nio.ByteOrder.LITTLE_ENDIAN;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The layout of an entry in a file, little endian: length of the payload (4 bytes), checksum (4), the synced length of
 * the file at the time of the write (8), then the payload. The synced length lets recovery distinguish damage from a
 * torn tail. An entry with an empty payload is a sync mark, which only records the synced length.
 *
 * <p>The size of an entry is limited where it is written. A reader accepts whatever the file can hold, so that it never
 * rejects what a writer was allowed to write.
 */
final class EntryFormat {
    static final int HEADER_BYTES = 16;
    static final int NO_ENTRY = -1;

    private static final int LENGTH_OFFSET = 0;
    private static final int CHECKSUM_OFFSET = 4;
    private static final int SYNCED_OFFSET = 8;
    private static final int CHECKSUM_MASK = 0x5bd1e995;

    private EntryFormat() {}

    /**
     * Encodes an entry.
     *
     * @param synced how many bytes of the file have been synced
     * @throws EntryTooLargeException if the entry is larger than {@link WriteAheadLog#MAX_ENTRY_BYTES}
     */
    static byte[] encode(final byte[] entry, final long synced) {
        if (entry.length > WriteAheadLog.MAX_ENTRY_BYTES) {
            throw new EntryTooLargeException(entry.length);
        }
        final byte[] encoded = new byte[HEADER_BYTES + entry.length];
        System.arraycopy(entry, 0, encoded, HEADER_BYTES, entry.length);
        putHeader(encoded, entry.length, synced);
        return encoded;
    }

    /** Writes the header of an entry whose payload follows it in the array. */
    static void putHeader(final byte[] encoded, final int length, final long synced) {
        final ByteBuffer header = ByteBuffer.wrap(encoded).order(LITTLE_ENDIAN);
        header.putInt(LENGTH_OFFSET, length);
        header.putLong(SYNCED_OFFSET, synced);
        final CRC32C crc = new CRC32C();
        crc.update(encoded, LENGTH_OFFSET, Integer.BYTES);
        crc.update(encoded, SYNCED_OFFSET, Long.BYTES);
        crc.update(encoded, HEADER_BYTES, length);
        header.putInt(CHECKSUM_OFFSET, checksum(crc));
    }

    /** Returns the payload length of the valid entry at a position of the file, {@link #NO_ENTRY} if there is none. */
    static int lengthAt(final BlockReader file, final long position) {
        final long available = file.size() - position - HEADER_BYTES;
        if (available < 0) {
            return NO_ENTRY;
        }
        final int length = file.getInt(position + LENGTH_OFFSET);
        if (length < 0 || length > available) {
            return NO_ENTRY;
        }
        final long synced = syncedAt(file, position);
        if (synced < 0 || synced > position) {
            return NO_ENTRY;
        }
        return file.getInt(position + CHECKSUM_OFFSET) == checksum(file, position, length) ? length : NO_ENTRY;
    }

    /** Returns how many bytes of the file were synced when the entry at the position was written, as it records. */
    static long syncedAt(final BlockReader file, final long position) {
        return file.getLong(position + SYNCED_OFFSET);
    }

    /** Covers length, synced length and payload; the length, so that a run of zeros does not pass for a sync mark. */
    private static int checksum(final BlockReader file, final long position, final int length) {
        final CRC32C crc = new CRC32C();
        file.updateChecksum(crc, position + LENGTH_OFFSET, Integer.BYTES);
        file.updateChecksum(crc, position + SYNCED_OFFSET, Long.BYTES);
        file.updateChecksum(crc, position + HEADER_BYTES, length);
        return checksum(crc);
    }

    private static int checksum(final CRC32C crc) {
        return (int) crc.getValue() ^ CHECKSUM_MASK;
    }
}
