package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;

/**
 * Decides which new sessions a gateway redirects because it has recently accepted as many as it can set up while their
 * callers wait. Only a gateway that other gateways redirect callers to ({@link StartupRedirect}) does so, and those
 * that it redirects to do not, so a caller is redirected twice at most. It redirects no more sessions than it accepts.
 * Times are monotonic milliseconds. Not thread-safe: the state thread owns it.
 */
public final class SessionOverflow {
    /** The CPU time to set up a session before the code has been compiled by the JIT, in milliseconds. */
    private static final int SESSION_CPU_MS = 5;

    /** The overflow of a gateway that redirects no sessions. */
    public static final SessionOverflow NONE = new SessionOverflow(Integer.MAX_VALUE, 1);

    /** How many sessions are accepted within one window before some are redirected. */
    private final int limit;

    private final long windowMs;
    private long windowStart = Long.MIN_VALUE / 2;
    private int accepted;
    private int redirected;

    private SessionOverflow(final int limit, final long windowMs) {
        this.limit = limit;
        this.windowMs = windowMs;
    }

    /**
     * The overflow of a gateway.
     *
     * @param processors the number of processors that this process may use, as a fraction; 0 where it is unknown
     * @param redirectTarget whether other gateways redirect their callers to this one
     */
    public static SessionOverflow of(final double processors, final boolean redirectTarget, final TimingBounds timing) {
        if (!redirectTarget || processors == 0) {
            return NONE;
        }
        final long windowMs = timing.callerWaitLimit();
        return new SessionOverflow((int) (processors * windowMs / SESSION_CPU_MS), windowMs);
    }

    /** Whether the next session should be redirected. */
    public boolean shouldRedirect(final long now) {
        if (now - windowStart >= windowMs) {
            windowStart = now;
            accepted = 0;
            redirected = 0;
        }
        return accepted >= limit && redirected < accepted;
    }

    /** A session was accepted. */
    public void accepted() {
        accepted++;
    }

    /** A session was redirected. */
    public void redirected() {
        redirected++;
    }
}
