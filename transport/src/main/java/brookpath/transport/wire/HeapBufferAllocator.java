package brookpath.transport.wire;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledDirectByteBuf;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Buffers of sockets as arrays on the heap, without a pool. Thread-safe.
 *
 * <p>Netty's default keeps pools of memory outside the heap. On a process that has just started, its code runs for the
 * first time just when all clients come back, and took a tenth of the processor time of their joins; messages here are
 * small and short-lived, which is what the heap's young generation is made for.
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
