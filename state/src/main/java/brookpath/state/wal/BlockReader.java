package brookpath.state.wal;

import static java.nio.ByteOrder.LITTLE_ENDIAN;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Reads a file through one block of bounded size, so that a large file takes little memory. The size of the file is the
 * one at the time of opening. Numbers are little endian. Not thread-safe.
 */
final class BlockReader implements AutoCloseable {
    static final int BLOCK_BYTES = 128 << 10;

    private final DiskFile file;
    private final long size;
    private final byte[] block;
    private final ByteBuffer numbers;
    private long blockStart;
    private int blockLength;

    BlockReader(final Disk disk, final String name) {
        file = disk.open(name);
        size = file.size();
        block = new byte[(int) Math.min(BLOCK_BYTES, Math.max(Long.BYTES, size))];
        numbers = ByteBuffer.wrap(block).order(LITTLE_ENDIAN);
    }

    /** The size of the file in bytes. */
    long size() {
        return size;
    }

    /** The 32-bit integer at a position; throws {@link IndexOutOfBoundsException} if the file ends before it does. */
    int getInt(final long position) {
        return numbers.getInt(load(position, Integer.BYTES));
    }

    /** The 64-bit integer at a position; throws {@link IndexOutOfBoundsException} if the file ends before it does. */
    long getLong(final long position) {
        return numbers.getLong(load(position, Long.BYTES));
    }

    /** Updates a checksum with a range of the file. */
    void updateChecksum(final CRC32C checksum, final long position, final long length) {
        long at = position;
        final long end = position + length;
        while (at < end) {
            final int offset = load(at, 1);
            final int count = (int) Math.min(blockLength - offset, end - at);
            checksum.update(block, offset, count);
            at += count;
        }
    }

    /** Fills the target with the bytes from a position on. */
    void read(final long position, final byte[] target) {
        read(position, target, 0, target.length);
    }

    /** Fills a range of the target with the bytes from a position on. */
    void read(final long position, final byte[] target, final int off, final int len) {
        int done = 0;
        while (done < len) {
            final int offset = load(position + done, 1);
            final int count = Math.min(blockLength - offset, len - done);
            System.arraycopy(block, offset, target, off + done, count);
            done += count;
        }
    }

    /** Loads the block that holds this many bytes from the position on, and returns their offset in it. */
    private int load(final long position, final int length) {
        if (position < blockStart || position + length > blockStart + blockLength) {
            blockLength = file.read(position, block, 0, block.length);
            blockStart = position;
        }
        if (blockLength < length) {
            throw new IndexOutOfBoundsException("the file ends before byte " + (position + length));
        }
        return (int) (position - blockStart);
    }

    @Override
    public void close() {
        file.close();
    }
}
