package brookpath.state.wal;

import static java.nio.ByteOrder.nativeOrder;

import brookpath.state.disk.Disk;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Reads the contents of a verified snapshot from the beginning to the end, through one block. The contents are fields
 * of {@link brookpath.state.record.PackedBuffer}: each follows its 32-bit length. Not thread-safe.
 */
final class SnapshotContents implements AutoCloseable {
    private final BlockReader file;
    private final List<SnapshotScan.Range> ranges;
    private final byte[] lengthBytes = new byte[Integer.BYTES];
    private int rangeIndex;
    private int rangeOffset;
    private long remaining;

    SnapshotContents(final Disk disk, final SnapshotScan scan) {
        file = new BlockReader(disk, scan.name());
        ranges = scan.ranges();
        remaining = scan.contentBytes();
    }

    boolean hasRemaining() {
        return remaining > 0;
    }

    /** Reads all that remains. */
    byte[] readRemaining() {
        final byte[] bytes = new byte[Math.toIntExact(remaining)];
        read(bytes);
        return bytes;
    }

    /**
     * Reads the next field.
     *
     * @throws IndexOutOfBoundsException if the contents end before the field does
     */
    byte[] readField() {
        final byte[] field = new byte[readLength()];
        read(field);
        return field;
    }

    /** Skips the next field without reading it. */
    void skipField() {
        advance(readLength(), null);
    }

    private int readLength() {
        checkRemaining(Integer.BYTES);
        read(lengthBytes);
        final int length = ByteBuffer.wrap(lengthBytes).order(nativeOrder()).getInt();
        checkRemaining(length);
        return length;
    }

    private void checkRemaining(final long length) {
        if (length < 0 || length > remaining) {
            throw new IndexOutOfBoundsException("field of " + length + " bytes, only " + remaining + " remain");
        }
    }

    private void read(final byte[] target) {
        advance(target.length, target);
    }

    /** @param target where the bytes are copied to, null to skip them */
    private void advance(final int length, final byte[] target) {
        int done = 0;
        while (done < length) {
            final SnapshotScan.Range range = ranges.get(rangeIndex);
            final int count = Math.min(length - done, range.length() - rangeOffset);
            if (target != null) {
                file.read(range.position() + rangeOffset, target, done, count);
            }
            done += count;
            rangeOffset += count;
            if (rangeOffset == range.length()) {
                rangeIndex++;
                rangeOffset = 0;
            }
        }
        remaining -= length;
    }

    @Override
    public void close() {
        file.close();
    }
}
