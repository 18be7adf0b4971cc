package brookpath.testing.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Checks, per kind of request, that service is not mostly down: once no machine has been away for the recovery bound,
 * most of what is asked succeeds. Publishes and counts are checked per group; nothing is averaged over kinds.
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

    void requested(final String kind, final long at, final boolean good) {
        requests.computeIfAbsent(kind, k -> new ArrayList<>()).add(new Request(at, good));
    }

    private void check() {
        // why: what was asked at the span's end may wait for its response as long as a caller is patient
        final long to = cluster.now() - Callers.REQUEST_TIMEOUT_MS - 100;
        final long from = to - PERIOD_MS;
        final boolean due = cluster.outages.machinesOutUntil() + cluster.timing.recoverMs() < from;
        requests.forEach((kind, list) -> {
            int good = 0;
            int all = 0;
            for (final Request a : list) {
                if (a.at >= from && a.at < to) {
                    all++;
                    good += a.good ? 1 : 0;
                }
            }
            list.removeIf(a -> a.at < from);
            // why: of one or two requests nothing can be said of most
            if (due && all >= (kind.equals("change") ? 2 : 4)) {
                cluster.count("availability checked: " + kind.replaceAll("[0-9]+", "N"));
                if (2 * good < all) {
                    cluster.history.violation(
                            cluster.now(),
                            kind + " is mostly down: " + good + " of " + all + " asked from " + from + " to " + to
                                    + " succeeded, though no machine was away since "
                                    + cluster.outages.machinesOutUntil());
                }
            }
        });
        cluster.at(cluster.now() + PERIOD_MS / 2, this::check);
    }
}
