package brookpath.testing.sim;

import brookpath.coordination.TimingBounds;
import java.util.EnumSet;

/** Starts a small simulated cluster whose first configuration is confirmed and whose groups have leaders. */
final class ServingCluster {
    private static final long FORMED_MS = 4_000;
    private static final long SERVING_MS = 8_000;

    private ServingCluster() {}

    static SimulatedCluster start(final long seed) {
        return start(seed, TimingBounds.DEFAULT, TimingBounds.DEFAULT);
    }

    /** As {@link #start(long)}, with other timing bounds. */
    static SimulatedCluster start(final long seed, final TimingBounds timing, final TimingBounds controlTiming) {
        final SimulatedCluster cluster =
                new SimulatedCluster(seed, FleetSize.SMALL, EnumSet.noneOf(Mutation.class), timing, controlTiming);
        cluster.run(FORMED_MS);
        cluster.callers.operators.change(cluster.callers.operators.document(0, "first", true), "first", r -> {
            if (r.status() != 200) {
                throw new IllegalStateException("the first change was not confirmed: " + r);
            }
        });
        cluster.run(SERVING_MS);
        return cluster;
    }
}
