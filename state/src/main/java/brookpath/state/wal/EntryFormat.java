package brookpath.state.wal;

import static java.nio.ByteOrder.LITTLE_ENDIAN;

import brookpath.state.record.ChunkedBuffer;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The layout of an entry in a file, little endian: length of the payload (4 bytes), checksum (4), the synced length of
 * the file at the time of the write (8), then the payload. The synced length lets recovery distinguish damage from a
 * torn tail. An entry with an empty payload is a sync mark, which only records the synced length.
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
     */
    static byte[] encode(final byte[] entry, final long synced) {
        final ByteBuffer buffer =
                ByteBuffer.allocate(HEADER_BYTES + entry.length).order(LITTLE_ENDIAN);
        buffer.putInt(LENGTH_OFFSET, entry.length);
        buffer.putLong(SYNCED_OFFSET, synced);
        buffer.put(HEADER_BYTES, entry);
        buffer.putInt(CHECKSUM_OFFSET, checksum(buffer.array(), 0, entry.length));
        return buffer.array();
    }

    /** Encodes the header of an entry whose payload follows in parts; in all, the same bytes as {@link #encode}. */
    static byte[] encodeHeader(final ChunkedBuffer entry, final long synced) {
        final ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES).order(LITTLE_ENDIAN);
        header.putInt(LENGTH_OFFSET, Math.toIntExact(entry.sizeBytes()));
        header.putLong(SYNCED_OFFSET, synced);
        final CRC32C crc = new CRC32C();
        updateHeader(crc, header.array(), 0);
        entry.chunks().forEach(crc::update);
        header.putInt(CHECKSUM_OFFSET, checksum(crc));
        return header.array();
    }

    /** Returns the payload length of the valid entry at a position of the file, {@link #NO_ENTRY} if there is none. */
    @SuppressWarnings("ByteBufferBackingArray") // the buffer wraps a complete file from its first byte
    static int lengthAt(final ByteBuffer file, final int position) {
        final int available = file.capacity() - position - HEADER_BYTES;
        if (available < 0) {
            return NO_ENTRY;
        }
        final int length = file.getInt(position + LENGTH_OFFSET);
        if (length < 0 || length > WriteAheadLog.MAX_ENTRY_BYTES || length > available) {
            return NO_ENTRY;
        }
        final long synced = syncedAt(file, position);
        if (synced < 0 || synced > position) {
            return NO_ENTRY;
        }
        final int checksum = file.getInt(position + CHECKSUM_OFFSET);
        return checksum == checksum(file.array(), position, length) ? length : NO_ENTRY;
    }

    /** Returns how many bytes of the file were synced when the entry at the position was written, as it records. */
    static long syncedAt(final ByteBuffer file, final int position) {
        return file.getLong(position + SYNCED_OFFSET);
    }

    /** Covers length, synced length and payload; the length, so that a run of zeros does not pass for a sync mark. */
    private static int checksum(final byte[] file, final int position, final int length) {
        final CRC32C crc = new CRC32C();
        updateHeader(crc, file, position);
        crc.update(file, position + HEADER_BYTES, length);
        return checksum(crc);
    }

    private static void updateHeader(final CRC32C crc, final byte[] file, final int position) {
        crc.update(file, position + LENGTH_OFFSET, Integer.BYTES);
        crc.update(file, position + SYNCED_OFFSET, Long.BYTES);
    }

    private static int checksum(final CRC32C crc) {
        return (int) crc.getValue() ^ CHECKSUM_MASK;
    }
}
