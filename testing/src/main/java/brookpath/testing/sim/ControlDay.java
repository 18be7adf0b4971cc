package brookpath.testing.sim;

import brookpath.testing.oracle.control.ControlHistory;
import brookpath.testing.oracle.control.ControlRule;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One seeded day for the control plane: four controllers, four storage machines and two gateways in virtual time,
 * operators with up to eight orders under way, troubles one after another, a last one right after an acknowledgement,
 * and a recovery after which everything is read back.
 */
public final class ControlDay {
    private static final FleetSize SIZE = new FleetSize(2, 2, 4, 6, 6, 8, 2);
    private static final long START_MS = 4_000;
    private static final long FIRST_ORDER_MS = 20_000;
    private static final long ORDER_EVERY_MS = 700;
    private static final long READ_EVERY_MS = 700;
    private static final long PAUSE_MS = 6_000;
    private static final long WATCH_EVERY_MS = 100;
    private static final long RECOVER_MS = 16_000;
    private static final long QUIET_MS = 15_000;
    private static final long READ_BACK_MS = 12_000;
    private static final int READ_BACK_TRIES = 5;
    private static final long LAST_ORDER_MS = 15_000;

    /** What a control day is made of. */
    public record Plan(long seed, long lengthMs, EnumSet<ControlFault> faults) {}

    /**
     * What a control day came to.
     *
     * @param violations of the rules of the control plane
     * @param others what the fleet's other oracles found: topics, usage, leaders
     */
    public record Outcome(
            long seed,
            List<String> violations,
            Map<ControlRule, Integer> broken,
            List<String> others,
            long newest,
            TreeMap<String, Integer> counts,
            List<String> notes) {
        /** Whether neither the oracles of the control plane nor the others found a violation. */
        public boolean good() {
            return violations.isEmpty() && others.isEmpty();
        }

        @Override
        public String toString() {
            final List<String> lines = new ArrayList<>();
            lines.add("seed " + seed + ": newest version " + newest + ", " + counts);
            violations.forEach(line -> lines.add("  " + line));
            others.forEach(line -> lines.add("  other: " + line));
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

    /** Plays the day and shows the observer the actions of all processes. */
    public static Outcome play(final Plan plan, final ActionObserver observer) {
        return new ControlDay(plan, observer).play();
    }

    private Outcome play() {
        begin();
        troubles();
        close();
        recover();
        return outcome();
    }

    private void begin() {
        cluster.run(START_MS);
        history.availability.disturb(cluster.now());
        operators.order(true);
        final long giveUpAt = cluster.now() + FIRST_ORDER_MS;
        while (operators.newest() == 0 && cluster.now() < giveUpAt) {
            cluster.run(cluster.now() + WATCH_EVERY_MS);
        }
        clients();
        watch();
        operators.placeOrders(ORDER_EVERY_MS);
        operators.read(READ_EVERY_MS);
        cluster.run(cluster.now() + MachineFaults.CATCH_UP_MS);
    }

    private void clients() {
        for (int i = 0; i < SIZE.topics(); i++) {
            cluster.callers.publisher("ana", Callers.topic(i), "key-members", 1_000, 30);
        }
        for (int i = 0; i < SIZE.sessions(); i++) {
            cluster.callers.subscriber("sub-" + i, "key-members", List.of(Callers.topic(i % SIZE.topics())));
        }
    }

    private void watch() {
        final List<Integer> running = fleet.controllers().stream()
                .filter(process -> process.alive && !process.frozen())
                .map(process -> process.id)
                .toList();
        history.watch(cluster.now(), running);
        cluster.at(cluster.now() + WATCH_EVERY_MS, this::watch);
    }

    /** One kind after another: some at once when the last machine is back, some later, some on top of others. */
    private void troubles() {
        final List<ControlFault> kinds = new ArrayList<>(plan.faults());
        final long end = cluster.now() + plan.lengthMs();
        while (cluster.now() < end && !kinds.isEmpty()) {
            final ControlFault kind = kinds.get(cluster.random.nextInt(kinds.size()));
            final boolean caused = faults.causeFault(kind);
            final long pause =
                    caused && cluster.random.nextBoolean() ? cluster.random.nextLong(PAUSE_MS) : WATCH_EVERY_MS;
            cluster.run(Math.min(end, cluster.now() + pause));
        }
        cluster.run(end);
    }

    /** The day's last failure comes once all machines are back, right after an acknowledgement. */
    private void close() {
        faults.stop();
        final boolean calm = plan.faults().isEmpty();
        cluster.run(Math.max(cluster.now(), faults.machines().outUntil()));
        if (calm) {
            return;
        }
        final boolean[] caused = new boolean[1];
        faults.close(() -> caused[0] = true);
        final long giveUpAt = cluster.now() + LAST_ORDER_MS;
        while (!caused[0] && cluster.now() < giveUpAt) {
            cluster.run(cluster.now() + 1);
        }
        cluster.count(caused[0] ? "control: closing faults" : "control: no acknowledgement to close on");
        cluster.run(Math.max(cluster.now(), faults.machines().outUntil() - MachineFaults.CATCH_UP_MS + 1));
    }

    private void recover() {
        faults.machines().endFaults();
        cluster.run(cluster.now() + RECOVER_MS);
        operators.quiet();
        cluster.callers.quiet = true;
        cluster.run(cluster.now() + QUIET_MS);
        operators.readBack(READ_BACK_TRIES);
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
