package brookpath.transport.wire;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledDirectByteBuf;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Allocates socket buffers as arrays on the heap, without pooling. Thread-safe.
 *
 * <p>Netty's default allocator pools memory outside the heap. In a process that has just started, its code runs for the
 * first time while all clients reconnect, and took a tenth of the processor time of their joins. Messages here are
 * small and short-lived, which suits the young generation of the heap.
 */
public final class HeapBufferAllocator extends AbstractByteBufAllocator {
    /** The only instance. */
    public static final HeapBufferAllocator INSTANCE = new HeapBufferAllocator();

    private HeapBufferAllocator() {
        super(false);
    }

    @Override
    public boolean isDirectBufferPooled() {
        return false;
    }

    @Override
    protected ByteBuf newHeapBuffer(final int initialCapacity, final int maxCapacity) {
        return new UnpooledHeapByteBuf(this, initialCapacity, maxCapacity);
    }

    @Override
    protected ByteBuf newDirectBuffer(final int initialCapacity, final int maxCapacity) {
        return new UnpooledDirectByteBuf(this, initialCapacity, maxCapacity);
    }

    @Override
    public ByteBuf ioBuffer() {
        return heapBuffer();
    }

    @Override
    public ByteBuf ioBuffer(final int initialCapacity) {
        return heapBuffer(initialCapacity);
    }

    @Override
    public ByteBuf ioBuffer(final int initialCapacity, final int maxCapacity) {
        return heapBuffer(initialCapacity, maxCapacity);
    }
}
