package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;

/**
 * Reports how topics are joined while that takes long or fails: at most one line per {@link #INTERVAL_MS}, and none
 * while all joins are quick. Times are monotonic milliseconds.
 */
final class JoinReport {
    private static final long INTERVAL_MS = 1_000;

    private final TimingBounds timing;
    private final Actions out;
    private long intervalStart;
    private int live;
    private int refused;
    private int historyGone;
    private long longestMs;

    JoinReport(final TimingBounds timing, final Actions out) {
        this.timing = timing;
        this.out = out;
    }

    /** A subscription has caught up and continues through its group's feed. */
    void wentLive(final GroupSubscription subscription, final long now) {
        live++;
        longestMs = Math.max(longestMs, now - subscription.startedAt);
    }

    /** A join was refused, since no member could be read in time. */
    void timedOut() {
        refused++;
    }

    /** A subscription ended, since records after its cursor are no longer kept. */
    void historyGone() {
        historyGone++;
    }

    /** Writes the report of an interval that has ended, if there is anything to report. */
    void tick(final long now) {
        if (now - intervalStart < INTERVAL_MS) {
            return;
        }
        if (refused > 0 || historyGone > 0 || longestMs > timing.heartbeat()) {
            out.milestone("joins in " + (now - intervalStart) + " ms: " + live + " live, the longest after " + longestMs
                    + " ms; " + refused + " refused, no member read in time; " + historyGone + " without history");
        }
        intervalStart = now;
        live = 0;
        refused = 0;
        historyGone = 0;
        longestMs = 0;
    }
}
