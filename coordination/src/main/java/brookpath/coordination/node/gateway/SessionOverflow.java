package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;

/**
 * Decides which sessions a gateway passes on because it has taken in as many lately as it can set up while their
 * callers wait. Only a gateway that others name to their callers ({@link StartupRedirect}) does so, and those that it
 * names do not, so a caller is sent on twice at most. It passes on no more than it takes in itself. Times are monotonic
 * milliseconds. Not thread-safe: the state thread owns it.
 */
public final class SessionOverflow {
    /** The processor time of a session's set-up, as measured while the code is cold; in milliseconds. */
    private static final int SESSION_PROCESSOR_MS = 5;

    /** A gateway that passes nothing on. */
    public static final SessionOverflow NONE = new SessionOverflow(Integer.MAX_VALUE, 1);

    /** How many sessions are taken in within one window before some are passed on. */
    private final int limit;

    private final long windowMs;
    private long windowStart = Long.MIN_VALUE / 2;
    private int takenIn;
    private int passedOn;

    private SessionOverflow(final int limit, final long windowMs) {
        this.limit = limit;
        this.windowMs = windowMs;
    }

    /**
     * The overflow of a gateway.
     *
     * @param processors how many processors' worth of time this process gets; 0 where that is unknown
     * @param named whether other gateways name this one to their callers
     */
    public static SessionOverflow of(final double processors, final boolean named, final TimingBounds timing) {
        if (!named || processors == 0) {
            return NONE;
        }
        final long windowMs = timing.callerWaitLimit();
        return new SessionOverflow((int) (processors * windowMs / SESSION_PROCESSOR_MS), windowMs);
    }

    /** Whether the next session should be passed on. */
    public boolean isDue(final long now) {
        if (now - windowStart >= windowMs) {
            windowStart = now;
            takenIn = 0;
            passedOn = 0;
        }
        return takenIn >= limit && passedOn < takenIn;
    }

    /** A session was taken in. */
    public void tookIn() {
        takenIn++;
    }

    /** A session was passed on. */
    public void passedOn() {
        passedOn++;
    }
}
