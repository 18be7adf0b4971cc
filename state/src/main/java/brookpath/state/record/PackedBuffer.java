package brookpath.state.record;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * Writes fields one after another into a buffer, and reads them back in the same order: 64-bit integers, and byte
 * strings behind their length in 32 bits, all in the byte order of the machine (little endian on all that are
 * supported). This is the layout of what is kept on disk. Not thread-safe.
 */
public final class PackedBuffer {
    private static final int INITIAL_CAPACITY_BYTES = 256;

    private final ExpandableArrayBuffer out;
    private final UnsafeBuffer in;
    private int position;

    private PackedBuffer(final ExpandableArrayBuffer out, final UnsafeBuffer in) {
        this.out = out;
        this.in = in;
    }

    /** An empty buffer to write to. */
    public static PackedBuffer writer() {
        return new PackedBuffer(new ExpandableArrayBuffer(INITIAL_CAPACITY_BYTES), null);
    }

    /** A buffer to read from; reads beyond its end throw {@link IndexOutOfBoundsException}. */
    public static PackedBuffer reader(final byte[] bytes) {
        return new PackedBuffer(null, new UnsafeBuffer(bytes));
    }

    /** Writes 8 bytes. */
    public PackedBuffer putLong(final long value) {
        out.putLong(position, value);
        position += Long.BYTES;
        return this;
    }

    /** Writes the length in 4 bytes, then the bytes. */
    public PackedBuffer putBytes(final byte[] value) {
        out.putInt(position, value.length);
        out.putBytes(position + Integer.BYTES, value);
        position += Integer.BYTES + value.length;
        return this;
    }

    /** Writes a string as its UTF-8 bytes. */
    public PackedBuffer putString(final String value) {
        return putBytes(value.getBytes(UTF_8));
    }

    /** A copy of what was written so far. */
    public byte[] toByteArray() {
        final byte[] bytes = new byte[position];
        out.getBytes(0, bytes);
        return bytes;
    }

    /** Reads what {@link #putLong} wrote; throws {@link IndexOutOfBoundsException} where less than 8 bytes are left. */
    public long getLong() {
        final long value = in.getLong(position);
        position += Long.BYTES;
        return value;
    }

    /** Reads a copy of what {@link #putBytes} wrote. A negative length throws {@link NegativeArraySizeException}. */
    public byte[] getBytes() {
        final byte[] value = new byte[in.getInt(position)];
        in.getBytes(position + Integer.BYTES, value);
        position += Integer.BYTES + value.length;
        return value;
    }

    /** Reads what {@link #putString} wrote. */
    public String getString() {
        return new String(getBytes(), UTF_8);
    }

    /** Skips this many bytes. */
    public PackedBuffer skipBytes(final int count) {
        position += count;
        return this;
    }

    /** Whether there is something left to read. */
    public boolean hasRemaining() {
        return position < in.capacity();
    }
}
