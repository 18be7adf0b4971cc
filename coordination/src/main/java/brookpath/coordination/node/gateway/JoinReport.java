package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;

/**
 * Logs how many topics were joined and how many joins failed: one line per {@link #INTERVAL_MS} at most, and none while
 * all joins succeed quickly. Times are monotonic milliseconds.
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

    /** A join was refused because no member could be read in time. */
    void timedOut() {
        refused++;
    }

    /** A subscription ended because records after its cursor are no longer kept. */
    void historyGone() {
        historyGone++;
    }

    /** Logs the interval that has ended, if a join was slow or failed in it. */
    void tick(final long now) {
        if (now - intervalStart < INTERVAL_MS) {
            return;
        }
        if (refused > 0 || historyGone > 0 || longestMs > timing.heartbeat()) {
            out.milestone("joins in " + (now - intervalStart) + " ms: " + live + " live, the slowest after " + longestMs
                    + " ms; " + refused + " refused, since no member could be read in time; " + historyGone
                    + " ended, since history was trimmed");
        }
        intervalStart = now;
        live = 0;
        refused = 0;
        historyGone = 0;
        longestMs = 0;
    }
}
