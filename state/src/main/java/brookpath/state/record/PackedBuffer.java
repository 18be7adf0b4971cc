package brookpath.state.record;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;

/** Writes and reads fields one after another over a buffer, for what is kept on disk. */
public final class PackedBuffer {
    private final ExpandableArrayBuffer out;
    private final UnsafeBuffer in;
    private int pos;

    private PackedBuffer(final ExpandableArrayBuffer out, final UnsafeBuffer in) {
        this.out = out;
        this.in = in;
    }

    public static PackedBuffer writer() {
        return new PackedBuffer(new ExpandableArrayBuffer(256), null);
    }

    public static PackedBuffer reader(final byte[] bytes) {
        return new PackedBuffer(null, new UnsafeBuffer(bytes));
    }

    public PackedBuffer num(final long v) {
        out.putLong(pos, v);
        pos += 8;
        return this;
    }

    public PackedBuffer bytes(final byte[] v) {
        out.putInt(pos, v.length);
        out.putBytes(pos + 4, v);
        pos += 4 + v.length;
        return this;
    }

    public PackedBuffer str(final String v) {
        return bytes(v.getBytes(UTF_8));
    }

    public byte[] done() {
        final byte[] v = new byte[pos];
        out.getBytes(0, v);
        return v;
    }

    public long num() {
        final long v = in.getLong(pos);
        pos += 8;
        return v;
    }

    public byte[] bytes() {
        final byte[] v = new byte[in.getInt(pos)];
        in.getBytes(pos + 4, v);
        pos += 4 + v.length;
        return v;
    }

    public String str() {
        return new String(bytes(), UTF_8);
    }

    public PackedBuffer skip(final int bytes) {
        pos += bytes;
        return this;
    }

    public boolean more() {
        return pos < in.capacity();
    }
}
