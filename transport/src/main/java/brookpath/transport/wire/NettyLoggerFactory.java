package brookpath.transport.wire;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/** Passes Netty's warnings and errors to the log ring. Thread-safe. */
final class NettyLoggerFactory extends InternalLoggerFactory {
    static final NettyLoggerFactory INSTANCE = new NettyLoggerFactory();

    private NettyLoggerFactory() {}

    @Override
    protected InternalLogger newInstance(final String name) {
        return new NettyLogger(name);
    }
}
