package brookpath.testing.sim;

import brookpath.testing.oracle.control.ControlHistory;
import brookpath.testing.oracle.control.ControlRule;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One seeded simulation of the control plane in virtual time: four controllers, four storage nodes and two gateways,
 * operators with up to eight changes in flight, one fault after another, a closing fault right after an
 * acknowledgement, and a recovery after which everything is read back.
 */
public final class ControlDay {
    private static final FleetSize SIZE = new FleetSize(2, 2, 4, 6, 6, 8, 2);
    private static final long START_MS = 4_000;
    private static final long FIRST_CHANGE_TIMEOUT_MS = 20_000;
    private static final long CHANGE_INTERVAL_MS = 700;
    private static final long READ_INTERVAL_MS = 700;
    private static final long MAX_PAUSE_MS = 6_000;
    private static final long SAMPLE_INTERVAL_MS = 100;
    private static final long RECOVERY_MS = 16_000;
    private static final long QUIESCENCE_MS = 15_000;
    private static final long READ_BACK_MS = 12_000;
    private static final int READ_BACK_ATTEMPTS = 5;
    private static final long CLOSING_FAULT_TIMEOUT_MS = 15_000;

    /** Seed, length and kinds of faults of a control day. */
    public record Plan(long seed, long lengthMs, EnumSet<ControlFault> faults) {}

    /**
     * The result of a control day.
     *
     * @param violations of the rules of the control plane
     * @param violationsByRule how many violations of each rule were found
     * @param otherViolations what the fleet's other oracles found: topics, usage, leaders
     * @param newestVersion the newest configuration version that was acknowledged
     */
    public record Outcome(
            long seed,
            List<String> violations,
            Map<ControlRule, Integer> violationsByRule,
            List<String> otherViolations,
            long newestVersion,
            TreeMap<String, Integer> counts,
            List<String> notes) {
        /** Whether neither the oracles of the control plane nor the others found a violation. */
        public boolean good() {
            return violations.isEmpty() && otherViolations.isEmpty();
        }

        @Override
        public String toString() {
            final List<String> lines = new ArrayList<>();
            lines.add("seed " + seed + ": newest version " + newestVersion + ", " + counts);
            violations.forEach(line -> lines.add("  " + line));
            otherViolations.forEach(line -> lines.add("  other: " + line));
            return String.join("\n", lines);
        }
    }

    private final Plan plan;
    private final SimulatedCluster cluster;
    private final ControlFleet fleet;
    private final ControlHistory history = new ControlHistory();
    private final ControlCall calls;
    private final Operators operators;
    private final ControlFaults faults;

    private ControlDay(final Plan plan, final ActionObserver observer) {
        this.plan = plan;
        cluster = new SimulatedCluster(plan.seed(), SIZE, EnumSet.noneOf(Mutation.class));
        cluster.observer = observer;
        fleet = new ControlFleet(cluster);
        calls = new ControlCall(cluster, history.calls);
        operators = new Operators(cluster, fleet, history, calls);
        final RetireOperator retirements = new RetireOperator(cluster, fleet, history, calls);
        faults = new ControlFaults(cluster, fleet, history, operators, retirements, calls);
    }

    /** Plays the day. */
    public static Outcome play(final Plan plan) {
        return play(plan, ActionObserver.NONE);
    }

    /** Plays the day and passes the actions of all processes to the observer. */
    public static Outcome play(final Plan plan, final ActionObserver observer) {
        return new ControlDay(plan, observer).play();
    }

    private Outcome play() {
        start();
        injectFaults();
        injectClosingFault();
        recover();
        return outcome();
    }

    private void start() {
        cluster.run(START_MS);
        history.availability.disturb(cluster.now());
        operators.order(true);
        final long deadline = cluster.now() + FIRST_CHANGE_TIMEOUT_MS;
        while (operators.newest() == 0 && cluster.now() < deadline) {
            cluster.run(cluster.now() + SAMPLE_INTERVAL_MS);
        }
        startClients();
        sampleRunningControllers();
        operators.placeOrders(CHANGE_INTERVAL_MS);
        operators.read(READ_INTERVAL_MS);
        cluster.run(cluster.now() + MachineFaults.CATCH_UP_MS);
    }

    private void startClients() {
        for (int i = 0; i < SIZE.topics(); i++) {
            cluster.callers.publisher("ana", Callers.topic(i), "key-members", 1_000, 30);
        }
        for (int i = 0; i < SIZE.sessions(); i++) {
            cluster.callers.subscriber("sub-" + i, "key-members", List.of(Callers.topic(i % SIZE.topics())));
        }
    }

    private void sampleRunningControllers() {
        final List<Integer> running = fleet.controllers().stream()
                .filter(process -> process.alive && !process.frozen())
                .map(process -> process.id)
                .toList();
        history.watch(cluster.now(), running);
        cluster.at(cluster.now() + SAMPLE_INTERVAL_MS, this::sampleRunningControllers);
    }

    /** Injects faults of random kinds: as soon as the previous machine is back, later, or while others still last. */
    private void injectFaults() {
        final List<ControlFault> kinds = new ArrayList<>(plan.faults());
        final long end = cluster.now() + plan.lengthMs();
        while (cluster.now() < end && !kinds.isEmpty()) {
            final ControlFault kind = kinds.get(cluster.random.nextInt(kinds.size()));
            final boolean caused = faults.causeFault(kind);
            final long pause =
                    caused && cluster.random.nextBoolean() ? cluster.random.nextLong(MAX_PAUSE_MS) : SAMPLE_INTERVAL_MS;
            cluster.run(Math.min(end, cluster.now() + pause));
        }
        cluster.run(end);
    }

    /** Injects the last fault of the day once all machines are back, right after an acknowledgement. */
    private void injectClosingFault() {
        faults.stop();
        final boolean faultless = plan.faults().isEmpty();
        cluster.run(Math.max(cluster.now(), faults.machines().outUntil()));
        if (faultless) {
            return;
        }
        final boolean[] caused = new boolean[1];
        faults.injectClosingFault(() -> caused[0] = true);
        final long deadline = cluster.now() + CLOSING_FAULT_TIMEOUT_MS;
        while (!caused[0] && cluster.now() < deadline) {
            cluster.run(cluster.now() + 1);
        }
        cluster.count(caused[0] ? "control: closing faults" : "control: no acknowledgement for the closing fault");
        cluster.run(Math.max(cluster.now(), faults.machines().outUntil() - MachineFaults.CATCH_UP_MS + 1));
    }

    private void recover() {
        faults.machines().endFaults();
        cluster.run(cluster.now() + RECOVERY_MS);
        operators.quiet();
        cluster.callers.quiet = true;
        cluster.run(cluster.now() + QUIESCENCE_MS);
        operators.readBack(READ_BACK_ATTEMPTS);
        cluster.run(cluster.now() + READ_BACK_MS);
        cluster.history.settle(cluster.now());
        history.settle();
    }

    private Outcome outcome() {
        return new Outcome(
                plan.seed(),
                history.violations.all().stream().map(Object::toString).toList(),
                new TreeMap<>(history.violations.counts()),
                cluster.history.violations(),
                operators.newest(),
                cluster.counts,
                cluster.notes());
    }
}
