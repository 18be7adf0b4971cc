package brookpath.state.wal;

import static java.nio.ByteOrder.LITTLE_ENDIAN;

import java.nio.ByteBuffer;

/**
 * The layout of a snapshot in parts: a file of entries ({@link EntryFormat}), each of which begins with a header,
 * little endian: version (4 bytes), kind (4), sequence number of the part from 0 on (8). The contents of the snapshot
 * follow in parts of bounded size. A closing part holds the size of the contents (8 bytes), and its sequence number is
 * the number of parts before it.
 */
final class SnapshotFormat {
    static final int VERSION = 1;
    static final int HEADER_BYTES = 16;
    static final int CLOSING_BYTES = HEADER_BYTES + Long.BYTES;

    static final int CONTENTS = 1;
    static final int CLOSING = 2;

    private static final int VERSION_OFFSET = 0;
    private static final int KIND_OFFSET = 4;
    private static final int SEQUENCE_OFFSET = 8;

    private SnapshotFormat() {}

    /** Writes the header of a part at a position of the array. */
    static void putHeader(final byte[] target, final int position, final int kind, final long sequence) {
        ByteBuffer.wrap(target)
                .order(LITTLE_ENDIAN)
                .putInt(position + VERSION_OFFSET, VERSION)
                .putInt(position + KIND_OFFSET, kind)
                .putLong(position + SEQUENCE_OFFSET, sequence);
    }

    static int version(final BlockReader file, final long position) {
        return file.getInt(position + VERSION_OFFSET);
    }

    static int kind(final BlockReader file, final long position) {
        return file.getInt(position + KIND_OFFSET);
    }

    static long sequence(final BlockReader file, final long position) {
        return file.getLong(position + SEQUENCE_OFFSET);
    }
}
