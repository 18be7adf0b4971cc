package brookpath.testing.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Checks for each kind of request that at least half of the requests succeed once no machine has been out for the
 * recovery bound. Publishes and listener counts are checked per group; nothing is averaged over kinds.
 */
final class AvailabilityOracle {
    private static final long PERIOD_MS = 3_000;

    private record Request(long at, boolean good) {}

    private final SimulatedCluster cluster;
    private final TreeMap<String, List<Request>> requests = new TreeMap<>();

    AvailabilityOracle(final SimulatedCluster cluster) {
        this.cluster = cluster;
        cluster.at(PERIOD_MS, this::check);
    }

    void recordRequest(final String kind, final long at, final boolean good) {
        requests.computeIfAbsent(kind, k -> new ArrayList<>()).add(new Request(at, good));
    }

    private void check() {
        // a request at the end of the period may take until its caller's time-out to get its response
        final long to = cluster.now() - Callers.REQUEST_TIMEOUT_MS - 100;
        final long from = to - PERIOD_MS;
        final boolean due = cluster.outages.machinesOutUntil() + cluster.timing.recoverMs() < from;
        requests.forEach((kind, list) -> {
            int good = 0;
            int all = 0;
            for (final Request request : list) {
                if (request.at >= from && request.at < to) {
                    all++;
                    good += request.good ? 1 : 0;
                }
            }
            list.removeIf(request -> request.at < from);
            // a ratio of very few requests says nothing; changes are rare, so two are enough for them
            if (due && all >= (kind.equals("change") ? 2 : 4)) {
                cluster.count("availability checked: " + kind.replaceAll("[0-9]+", "N"));
                if (2 * good < all) {
                    cluster.history.violation(
                            cluster.now(),
                            kind + " mostly fails: " + good + " of " + all + " requests from " + from + " to " + to
                                    + " succeeded, although no machine was out since "
                                    + cluster.outages.machinesOutUntil());
                }
            }
        });
        cluster.at(cluster.now() + PERIOD_MS / 2, this::check);
    }
}
