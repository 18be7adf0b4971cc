package brookpath.testing.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Stands in for the platform, which routes callers to the gateways that report readiness. */
final class ReadyGateways {
    private final Fleet fleet;
    private final SplittableRandom random;
    private volatile List<Fleet.FleetProcess> ready = List.of();

    ReadyGateways(final Fleet fleet, final SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Polls the readiness of each gateway. */
    void refresh() {
        final List<Fleet.FleetProcess> readyNow = new ArrayList<>();
        for (final Fleet.FleetProcess process : fleet.gateways()) {
            try {
                if (process.alive() && !fleet.get(process, "/v1/ready").isEmpty()) {
                    readyNow.add(process);
                }
            } catch (final InterruptedException ex) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        ready = readyNow;
    }

    /** A random ready gateway; any gateway if none is ready. */
    synchronized Fleet.FleetProcess any() {
        final List<Fleet.FleetProcess> candidates = ready.isEmpty() ? fleet.gateways() : ready;
        return candidates.get(random.nextInt(candidates.size()));
    }
}
