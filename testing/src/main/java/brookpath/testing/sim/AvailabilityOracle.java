package brookpath.testing.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Judges, per kind of request, that service is not mostly down: once no machine has been away for the recovery bound,
 * most of what is asked succeeds. Publishes and counts are judged per group; nothing is averaged over kinds.
 */
final class AvailabilityOracle {
    private static final long SPAN = 3_000;

    private record StatusClient(long at, boolean good) {}

    private final SimulatedCluster world;
    private final TreeMap<String, List<StatusClient>> asks = new TreeMap<>();

    AvailabilityOracle(final SimulatedCluster world) {
        this.world = world;
        world.at(SPAN, this::judge);
    }

    void asked(final String kind, final long at, final boolean good) {
        asks.computeIfAbsent(kind, k -> new ArrayList<>()).add(new StatusClient(at, good));
    }

    private void judge() {
        // why: what was asked at the span's end may wait for its response as long as a caller is patient
        final long to = world.now() - Callers.PATIENCE - 100;
        final long from = to - SPAN;
        final boolean due = world.wellness.machinesOutUntil() + world.timing.recoverMs() < from;
        asks.forEach((kind, list) -> {
            int good = 0;
            int all = 0;
            for (final StatusClient a : list) {
                if (a.at >= from && a.at < to) {
                    all++;
                    good += a.good ? 1 : 0;
                }
            }
            list.removeIf(a -> a.at < from);
            // why: of one or two asks nothing can be said of most
            if (due && all >= (kind.equals("change") ? 2 : 4)) {
                world.count("service judged: " + kind.replaceAll("[0-9]+", "N"));
                if (2 * good < all) {
                    world.history.violation(
                            world.now(),
                            kind + " is mostly down: " + good + " of " + all + " asked from " + from + " to " + to
                                    + " succeeded, though no machine was away since "
                                    + world.wellness.machinesOutUntil());
                }
            }
        });
        world.at(world.now() + SPAN / 2, this::judge);
    }
}
