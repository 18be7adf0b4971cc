package brookpath.state.record;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * Writes fields one after another into a buffer, or reads them back in the same order. Fields are 64-bit integers and
 * byte strings, each of which follows its 32-bit length, in the native byte order (little endian on all supported
 * machines). Data on disk has this layout. Not thread-safe.
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

    /** Returns an empty buffer to write to. */
    public static PackedBuffer writer() {
        return new PackedBuffer(new ExpandableArrayBuffer(INITIAL_CAPACITY_BYTES), null);
    }

    /** Returns a buffer to read from; reads beyond its end throw {@link IndexOutOfBoundsException}. */
    public static PackedBuffer reader(final byte[] bytes) {
        return new PackedBuffer(null, new UnsafeBuffer(bytes));
    }

    /** Writes a 64-bit integer. */
    public PackedBuffer putLong(final long value) {
        out.putLong(position, value);
        position += Long.BYTES;
        return this;
    }

    /** Writes the length as a 32-bit integer, then the bytes. */
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

    /** Returns a copy of what was written so far. */
    public byte[] toByteArray() {
        final byte[] bytes = new byte[position];
        out.getBytes(0, bytes);
        return bytes;
    }

    /** The number of bytes written so far. */
    public int sizeBytes() {
        return position;
    }

    /** Reads what {@link #putLong} wrote; throws {@link IndexOutOfBoundsException} if fewer than 8 bytes are left. */
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

    /** The offset of the next field to read. */
    public int position() {
        return position;
    }

    /** Skips what {@link #putBytes} wrote. A negative length throws {@link NegativeArraySizeException}. */
    public PackedBuffer skipField() {
        final int length = in.getInt(position);
        if (length < 0) {
            throw new NegativeArraySizeException(String.valueOf(length));
        }
        in.boundsCheck(position + Integer.BYTES, length);
        return skipBytes(Integer.BYTES + length);
    }

    /** Skips this many bytes. */
    public PackedBuffer skipBytes(final int count) {
        position += count;
        return this;
    }

    /** Whether bytes are left to read. */
    public boolean hasRemaining() {
        return position < in.capacity();
    }
}
