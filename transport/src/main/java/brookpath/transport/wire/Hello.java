package brookpath.transport.wire;

import brookpath.transport.identity.ProcessIdentity;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * The first frame in each direction of a session, which identifies its sender. The node number comes first, where
 * relays of sessions look for it.
 */
final class Hello {
    private static final int MAGIC = 0x62726b31;
    private static final int BYTES = 2 * Integer.BYTES + 2 * Long.BYTES;

    private Hello() {}

    /** The frame with its length field, as it is sent. */
    static ByteBuf encode(final ProcessIdentity own, final ByteBufAllocator alloc) {
        return alloc.buffer(Integer.BYTES + BYTES)
                .writeInt(BYTES)
                .writeInt(own.node())
                .writeInt(MAGIC)
                .writeLong(own.incarnation())
                .writeLong(own.machine());
    }

    /** Throws {@link IllegalArgumentException} if the frame is not a hello. */
    static ProcessIdentity decode(final ByteBuf frame) {
        if (frame.readableBytes() != BYTES) {
            throw new IllegalArgumentException("first frame of the session is not a hello: wrong length");
        }
        final int node = frame.readInt();
        if (frame.readInt() != MAGIC) {
            throw new IllegalArgumentException("first frame of the session is not a hello: wrong magic number");
        }
        return new ProcessIdentity(node, frame.readLong(), frame.readLong());
    }
}
