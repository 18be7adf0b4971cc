package brookpath.transport.wire;

import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * What Netty and the runtime's channels would otherwise find out or set up at their start, which takes a small machine
 * longer than it can spare: the network interfaces and the process for Netty's channel IDs, which nothing here uses,
 * events of the flight recorder, and the logging libraries and selector providers on the class path.
 */
final class NettyStart {
    private static final String MACHINE_ID = "io.netty.machineId";
    private static final String PROCESS_ID = "io.netty.processId";
    private static final String FLIGHT_RECORDER_EVENTS = "io.netty.jfr.enabled";
    private static final String ALLOCATOR = "io.netty.allocator.type";
    private static final String SELECTOR_PROVIDER = "java.nio.channels.spi.SelectorProvider";
    private static final String EPOLL = "sun.nio.ch.EPollSelectorProvider";

    private NettyStart() {}

    /** To be called before the first use of Netty; values that were given on the command line stay. */
    static void prepare() {
        setDefault(MACHINE_ID, "00:00:00:00:00:00:00:01");
        setDefault(PROCESS_ID, "1");
        // why: registering the allocator's events was a third of a gateway's start, with no recording to use them
        setDefault(FLIGHT_RECORDER_EVENTS, "false");
        // why: all channels here are given HeapBufferAllocator; the default one would set up its pools all the same
        setDefault(ALLOCATOR, "unpooled");
        if (isInRuntime(EPOLL)) {
            // why: without a name the runtime searches every library on the class path for a provider
            setDefault(SELECTOR_PROVIDER, EPOLL);
        }
        InternalLoggerFactory.setDefaultFactory(NettyLoggerFactory.INSTANCE);
    }

    /** Whether the Java runtime itself has this class, which depends on the operating system. */
    private static boolean isInRuntime(final String className) {
        try {
            Class.forName(className, false, null);
            return true;
        } catch (final ClassNotFoundException ex) {
            return false;
        }
    }

    private static void setDefault(final String property, final String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }
}
