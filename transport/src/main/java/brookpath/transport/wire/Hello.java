package brookpath.transport.wire;

import brookpath.transport.identity.ProcessIdentity;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * The first frame in each direction of a session: who its sender is. The node number comes first, where whoever relays
 * sessions looks for it.
 */
final class Hello {
    private static final int MAGIC = 0x62726b31;
    private static final int BYTES = 2 * Integer.BYTES + 2 * Long.BYTES;

    private Hello() {}

    /** The frame behind its length, as it goes on the wire. */
    static ByteBuf encode(final ProcessIdentity own, final ByteBufAllocator alloc) {
        return alloc.buffer(Integer.BYTES + BYTES)
                .writeInt(BYTES)
                .writeInt(own.node())
                .writeInt(MAGIC)
                .writeLong(own.incarnation())
                .writeLong(own.machine());
    }

    /** Throws {@link IllegalArgumentException} for a frame that is no hello. */
    static ProcessIdentity decode(final ByteBuf frame) {
        if (frame.readableBytes() != BYTES) {
            throw new IllegalArgumentException("a session that does not begin with a hello");
        }
        final int node = frame.readInt();
        if (frame.readInt() != MAGIC) {
            throw new IllegalArgumentException("a session that begins with another kind of hello");
        }
        return new ProcessIdentity(node, frame.readLong(), frame.readLong());
    }
}
