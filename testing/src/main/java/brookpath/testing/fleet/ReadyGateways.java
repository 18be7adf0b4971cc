package brookpath.testing.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The platform's part: it hands callers to the nodes that say they are ready. */
final class ReadyGateways {
    private final Fleet fleet;
    private final SplittableRandom random;
    private volatile List<Fleet.Unit> ready = List.of();

    ReadyGateways(final Fleet fleet, final SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Asks each gateway whether it is ready. */
    void refresh() {
        final List<Fleet.Unit> found = new ArrayList<>();
        for (final Fleet.Unit unit : fleet.gateways()) {
            try {
                if (unit.alive() && !fleet.get(unit, "/v1/ready").isEmpty()) {
                    found.add(unit);
                }
            } catch (final InterruptedException ex) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        ready = found;
    }

    /** Any that is ready; any at all where none is. */
    synchronized Fleet.Unit any() {
        final List<Fleet.Unit> candidates = ready.isEmpty() ? fleet.gateways() : ready;
        return candidates.get(random.nextInt(candidates.size()));
    }
}
