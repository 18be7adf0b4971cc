package brookpath.state.record;

import static java.nio.ByteOrder.nativeOrder;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes fields in the layout of {@link PackedBuffer}, but refers to long byte strings instead of copying them, so that
 * a snapshot of a large state takes little memory beside that state. The caller must not modify the byte strings
 * afterwards. Not thread-safe while it is written to.
 */
public final class ChunkedBuffer {
    /** Shorter byte strings are copied: a reference of their own would take about as much memory. */
    private static final int MIN_REFERENCED_BYTES = 256;
    /** A chunk of copied fields ends at this size, so that no large array has to grow. */
    private static final int MAX_COPIED_BYTES = 64 << 10;

    private final List<byte[]> chunks = new ArrayList<>();
    private PackedBuffer copied = PackedBuffer.writer();
    private long chunkBytes;

    /** Returns a buffer with these bytes as its contents. */
    public static ChunkedBuffer of(final byte[] bytes) {
        final ChunkedBuffer buffer = new ChunkedBuffer();
        buffer.addChunk(bytes);
        return buffer;
    }

    /** Writes a 64-bit integer. */
    public ChunkedBuffer putLong(final long value) {
        copied.putLong(value);
        return endFullChunk();
    }

    /** Writes the length as a 32-bit integer, then the bytes. */
    public ChunkedBuffer putBytes(final byte[] value) {
        if (value.length < MIN_REFERENCED_BYTES) {
            copied.putBytes(value);
            return endFullChunk();
        }
        putLength(value.length);
        addChunk(value);
        return this;
    }

    /** Writes the length of another buffer as a 32-bit integer, then its contents. */
    public ChunkedBuffer putBytes(final ChunkedBuffer value) {
        putLength(Math.toIntExact(value.sizeBytes()));
        value.chunks().forEach(this::addChunk);
        return this;
    }

    /** The size of the contents. */
    public long sizeBytes() {
        return chunkBytes + copied.sizeBytes();
    }

    /** The contents, as parts that follow one another. */
    public List<byte[]> chunks() {
        endChunk();
        return List.copyOf(chunks);
    }

    /** Returns a copy of the contents. */
    public byte[] toByteArray() {
        final ByteBuffer bytes = ByteBuffer.allocate(Math.toIntExact(sizeBytes()));
        chunks().forEach(bytes::put);
        return bytes.array();
    }

    /** Returns a copy of this many bytes of the contents from an offset on. */
    public byte[] copyOfRange(final long offset, final int length) {
        endChunk();
        final byte[] copy = new byte[length];
        int done = 0;
        long chunkStart = 0;
        for (final byte[] chunk : chunks) {
            final long skipped = offset + done - chunkStart;
            if (skipped < chunk.length && done < length) {
                final int count = Math.min(length - done, chunk.length - (int) skipped);
                System.arraycopy(chunk, (int) skipped, copy, done, count);
                done += count;
            }
            chunkStart += chunk.length;
        }
        return copy;
    }

    private void putLength(final int length) {
        endChunk();
        addChunk(ByteBuffer.allocate(Integer.BYTES)
                .order(nativeOrder())
                .putInt(length)
                .array());
    }

    private ChunkedBuffer endFullChunk() {
        if (copied.sizeBytes() >= MAX_COPIED_BYTES) {
            endChunk();
        }
        return this;
    }

    private void endChunk() {
        if (copied.sizeBytes() > 0) {
            chunks.add(copied.toByteArray());
            chunkBytes += copied.sizeBytes();
            copied = PackedBuffer.writer();
        }
    }

    private void addChunk(final byte[] chunk) {
        endChunk();
        chunks.add(chunk);
        chunkBytes += chunk.length;
    }
}
