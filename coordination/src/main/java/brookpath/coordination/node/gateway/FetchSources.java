package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.route.RouteFinder;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongFunction;

/** Selects the group members that records are fetched from; those that failed recently are selected last. */
final class FetchSources {
    private final TimingBounds timing;
    private final LongFunction<RouteFinder> routes;
    private final Map<Integer, Long> avoidedUntil = new HashMap<>();

    FetchSources(final TimingBounds timing, final LongFunction<RouteFinder> routes) {
        this.timing = timing;
        this.routes = routes;
    }

    /** The best member to read the group from; 0 for none. */
    int select(final int group, final long now) {
        return routes.apply(now).nearest(group, node -> avoidedUntil.getOrDefault(node, RouteFinder.NOT_FAILED), now);
    }

    void avoid(final int node, final long now) {
        avoidedUntil.put(node, now + timing.recoverMs() / 4);
    }

    boolean isAvoided(final int node) {
        return avoidedUntil.containsKey(node);
    }

    void responded(final int node) {
        avoidedUntil.remove(node);
    }

    /** Removes the nodes whose avoidance period has ended. */
    void expire(final long now) {
        avoidedUntil.values().removeIf(until -> now >= until);
    }
}
