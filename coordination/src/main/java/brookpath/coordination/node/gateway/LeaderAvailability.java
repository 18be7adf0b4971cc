package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.route.RouteFinder;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongFunction;

/** Tracks for how long each group has had no leader, as far as this node knows. */
final class LeaderAvailability {
    private final TimingBounds timing;
    private final LongFunction<RouteFinder> routes;
    private final Map<Integer, Long> unavailableSince = new HashMap<>();
    private long nextCheck = Long.MIN_VALUE;

    LeaderAvailability(final TimingBounds timing, final LongFunction<RouteFinder> routes) {
        this.timing = timing;
        this.routes = routes;
    }

    /** Checks which groups have a leader, at most twice per heartbeat interval. */
    void check(final int groups, final long now) {
        if (now < nextCheck) {
            return;
        }
        nextCheck = now + timing.heartbeat() / 2;
        final RouteFinder finder = routes.apply(now);
        for (int group = 0; group < groups; group++) {
            if (finder.leader(group, now).node() == 0) {
                unavailableSince.putIfAbsent(group, now);
            } else {
                unavailableSince.remove(group);
            }
        }
    }

    /**
     * Whether the group has had no leader for longer than an election takes, so that a publish should not wait for one.
     */
    boolean isUnavailable(final int group, final long now) {
        return now - unavailableSince.getOrDefault(group, now) > timing.deliverMs() / 2;
    }
}
