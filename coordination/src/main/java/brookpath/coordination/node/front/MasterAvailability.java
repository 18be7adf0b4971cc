package brookpath.coordination.node.front;

import brookpath.coordination.Tempo;
import brookpath.coordination.route.RouteFinder;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongFunction;

/** Since when groups have had no master that this node knows of. */
final class MasterAvailability {
    private final Tempo tempo;
    private final LongFunction<RouteFinder> routes;
    private final Map<Integer, Long> unavailableSince = new HashMap<>();
    private long nextCheck = Long.MIN_VALUE;

    MasterAvailability(final Tempo tempo, final LongFunction<RouteFinder> routes) {
        this.tempo = tempo;
        this.routes = routes;
    }

    /** Looks, at most twice a heartbeat, which groups have a master. */
    void check(final int groups, final long now) {
        if (now < nextCheck) {
            return;
        }
        nextCheck = now + tempo.beat() / 2;
        final RouteFinder finder = routes.apply(now);
        for (int group = 0; group < groups; group++) {
            if (finder.master(group, now).node() == 0) {
                unavailableSince.putIfAbsent(group, now);
            } else {
                unavailableSince.remove(group);
            }
        }
    }

    /** Whether the group has been without a master for longer than an election takes, so that waiting is no use. */
    boolean isGivenUp(final int group, final long now) {
        return now - unavailableSince.getOrDefault(group, now) > tempo.deliverMs() / 2;
    }
}
