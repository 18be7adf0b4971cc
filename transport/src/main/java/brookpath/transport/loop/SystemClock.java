package brookpath.transport.loop;

import brookpath.coordination.node.Node.Time;

/** The clocks of this machine. */
public final class SystemClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private SystemClock() {}

    /** Monotonic and wall time, in milliseconds. */
    public static Time now() {
        return new Time(monotonicMs(), System.currentTimeMillis());
    }

    /** Monotonic time in milliseconds since an arbitrary origin, which is the same in the whole process. */
    public static long monotonicMs() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }
}
