package brookpath.transport.wire;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/**
 * What Netty would otherwise find out at its start, which takes a small machine longer than it can spare: the network
 * interfaces and the process for its channel IDs, which nothing here uses, and the logging libraries on the class path.
 */
final class NettyStart {
    private static final String MACHINE_ID = "io.netty.machineId";
    private static final String PROCESS_ID = "io.netty.processId";

    private NettyStart() {}

    /** To be called before the first use of Netty; values that were given on the command line stay. */
    static void prepare() {
        if (System.getProperty(MACHINE_ID) == null) {
            System.setProperty(MACHINE_ID, "00:00:00:00:00:00:00:01");
        }
        if (System.getProperty(PROCESS_ID) == null) {
            System.setProperty(PROCESS_ID, "1");
        }
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }
}
