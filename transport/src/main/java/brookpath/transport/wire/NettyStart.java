package brookpath.transport.wire;

import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Sets defaults for what Netty and the Java runtime's channels would otherwise detect or set up at their first use,
 * which delays the start of a process on a small machine too much: the network interfaces and the process ID for
 * Netty's channel IDs, which are not used here, the events of the flight recorder, and the logging libraries and
 * selector providers on the class path.
 */
final class NettyStart {
    private static final String MACHINE_ID = "io.netty.machineId";
    private static final String PROCESS_ID = "io.netty.processId";
    private static final String FLIGHT_RECORDER_EVENTS = "io.netty.jfr.enabled";
    private static final String ALLOCATOR = "io.netty.allocator.type";
    private static final String SELECTOR_PROVIDER = "java.nio.channels.spi.SelectorProvider";
    private static final String EPOLL = "sun.nio.ch.EPollSelectorProvider";

    private NettyStart() {}

    /** To be called before the first use of Netty. System properties set on the command line take precedence. */
    static void prepare() {
        setDefault(MACHINE_ID, "00:00:00:00:00:00:00:01");
        setDefault(PROCESS_ID, "1");
        // Registering the allocator's events took a third of a gateway's start, although nothing records them.
        setDefault(FLIGHT_RECORDER_EVENTS, "false");
        // All channels here use HeapBufferAllocator, but the default allocator would set up its pools nevertheless.
        setDefault(ALLOCATOR, "unpooled");
        if (isInRuntime(EPOLL)) {
            // Without this name the runtime searches every library on the class path for a provider.
            setDefault(SELECTOR_PROVIDER, EPOLL);
        }
        InternalLoggerFactory.setDefaultFactory(NettyLoggerFactory.INSTANCE);
    }

    /** Whether the Java runtime contains this class, which depends on the operating system. */
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
