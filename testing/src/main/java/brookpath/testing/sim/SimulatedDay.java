package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.node.StorageNode;
import brookpath.state.record.LogRecord;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.TreeMap;

/**
 * One simulated day, determined by a seed: a fleet with callers and operators runs while faults are injected; then all
 * faults end, and the day checks that service recovers and that everything committed reads back.
 */
public final class SimulatedDay {
    private static final long RECOVERY_PAUSE_MS = 24_000;

    /** Kinds of faults that a day can inject. */
    public enum Fault {
        KILL,
        POWER,
        FREEZE,
        CUT,
        ONE_WAY,
        LOSS,
        SLOW_DISK,
        SYNC_FAILS,
        DISK_LOST,
        CORRUPT,
        CLOCK,
        RESETS,
        ROLLING,
        OWNER_DIES,
        SLOW_NET,
        BLACKOUT,
        PLATFORM,
        FULL_DISK,
        STALLS,
        LINK_LOSS,
        RETIRE,
        SWITCHOVER,
        DRAIN,
        GATEWAYS_RESTART,
        RACE,
        LAST_ACT,
        ROT
    }

    /** Parameters of a day. */
    public record Plan(
            long seed,
            FleetSize size,
            long lengthMs,
            long faultEveryMs,
            EnumSet<Fault> faults,
            EnumSet<Mutation> mutations,
            Ending ending) {
        /** A day of 60 s on a small fleet, with faults of these kinds. */
        public static Plan of(final long seed, final EnumSet<Fault> faults) {
            return new Plan(
                    seed,
                    FleetSize.SMALL,
                    60_000,
                    4_000,
                    faults,
                    EnumSet.noneOf(Mutation.class),
                    faults.isEmpty() ? Ending.NO_FAULT : Ending.FAULT);
        }

        /** The same day with the simulation broken in this way. */
        public Plan withMutation(final Mutation mutation) {
            return new Plan(seed, size, lengthMs, faultEveryMs, faults, EnumSet.of(mutation), ending);
        }

        /** The same day with another ending. */
        public Plan withEnding(final Ending other) {
            return new Plan(seed, size, lengthMs, faultEveryMs, faults, mutations, other);
        }

        /** The same day with a fleet of another size. */
        public Plan withSize(final FleetSize other) {
            return new Plan(seed, other, lengthMs, faultEveryMs, faults, mutations, ending);
        }

        /** The same day with another length, in milliseconds of virtual time. */
        public Plan withLength(final long ms) {
            return new Plan(seed, size, ms, faultEveryMs, faults, mutations, ending);
        }
    }

    /** How a day ends: without a fault, with one, or with one and a machine with a disk lost for good. */
    public enum Ending {
        NO_FAULT,
        FAULT,
        MACHINE_LOST
    }

    /** Result of a day. */
    public record Outcome(
            long seed,
            List<String> violations,
            int committed,
            int delivered,
            TreeMap<String, Integer> counts,
            List<Long> latencies,
            List<Long> publishLatencies,
            List<Long> leaderless,
            TreeMap<String, Long> crossZoneBytes,
            List<String> notes,
            long trace) {
        /** Whether no oracle found a violation. */
        public boolean good() {
            return violations.isEmpty();
        }

        @Override
        public String toString() {
            return "seed " + seed + ": committed " + committed + ", delivered " + delivered + ", " + counts
                    + (violations.isEmpty() ? "" : "\n  " + String.join("\n  ", violations));
        }
    }

    private final Plan plan;
    private final SimulatedCluster cluster;
    private int faultsCaused;
    private final DayFaults dayFaults;

    private SimulatedDay(final Plan plan, final ActionObserver observer) {
        this.plan = plan;
        cluster = new SimulatedCluster(plan.seed, plan.size, plan.mutations);
        cluster.observer = observer;
        dayFaults = new DayFaults(cluster);
    }

    /** Plays a day. */
    public static Outcome play(final Plan plan) {
        return play(plan, ActionObserver.NONE);
    }

    /** Plays a day and passes the actions of all processes to the observer. */
    public static Outcome play(final Plan plan, final ActionObserver observer) {
        return new SimulatedDay(plan, observer).play();
    }

    /**
     * Plays a day up to its last fault, without the recovery, and passes the actions of all processes to the observer.
     */
    public static void playFaults(final Plan plan, final ActionObserver observer) {
        new SimulatedDay(plan, observer).playFaults();
    }

    /** The cluster of a day without faults after its callers have run for the plan's length, for measurements. */
    static SimulatedCluster withoutFaults(final Plan plan) {
        final SimulatedDay day = new SimulatedDay(plan, ActionObserver.NONE);
        day.begin();
        day.cluster.run(day.cluster.now() + plan.lengthMs);
        return day.cluster;
    }

    private void begin() {
        cluster.run(4_000);
        cluster.callers.operators.change(cluster.callers.operators.document(0, "first", true), "first", r -> {
            if (r.status() != 200) {
                cluster.history.violation(cluster.now(), "the first change was not confirmed: " + r);
            }
        });
        cluster.run(8_000);
        startCallers();
        cluster.run(11_000);
    }

    private Outcome play() {
        playFaults();
        return checkRecovery();
    }

    private void playFaults() {
        begin();
        cluster.callers.operators.raceRepeatedly(2_000);
        long next = cluster.now() + plan.faultEveryMs;
        final List<Fault> faults = new ArrayList<>(plan.faults);
        final long end = cluster.now() + plan.lengthMs;
        while (cluster.now() < end && !faults.isEmpty()) {
            cluster.run(Math.min(end, next));
            // in a longer pause after every sixth round all machines come back, so that recovery is checked mid-day too
            next = cluster.now()
                    + plan.faultEveryMs / 2
                    + cluster.random.nextLong(plan.faultEveryMs)
                    + (++faultsCaused % 6 == 0 ? RECOVERY_PAUSE_MS : 0);
            dayFaults.causeFault(faults.get(cluster.random.nextInt(faults.size())));
            if (cluster.random.nextInt(4) == 0) {
                dayFaults.causeFault(faults.get(cluster.random.nextInt(faults.size())));
            }
        }
        cluster.run(end);
        if (plan.ending != Ending.NO_FAULT && !faults.isEmpty()) {
            dayFaults.causeFault(faults.get(cluster.random.nextInt(faults.size())));
            cluster.run(cluster.now() + 1_000);
        }
        if (plan.ending == Ending.MACHINE_LOST) {
            dayFaults.loseMachineForGood();
        }
    }

    /**
     * Starts two publishers for each topic, which together publish at the rate of the fleet's size: one makes up to 30
     * attempts, the other makes only one on every second topic. Half of the sessions use a key that operators revoke
     * and restore.
     */
    private void startCallers() {
        final FleetSize size = plan.size;
        final long every = (long) (2_000 * size.topics() / size.perSecond());
        final List<String> tenants = cluster.callers.tenants();
        for (int i = 0; i < size.topics(); i++) {
            final String tenant = tenants.size() > 3 ? tenants.get(3 + i % (tenants.size() - 3)) : "members";
            cluster.callers.publisher("ana", Callers.topic(i), "key-members", every, 30);
            cluster.callers.publisher(tenant + "-bo", Callers.topic(i), "key-" + tenant, every, i % 2 == 0 ? 1 : 30);
        }
        for (int i = 0; i < 4; i++) {
            cluster.callers.publisher("half-" + i, Callers.topic(i), "key-half", 1_000, 5);
        }
        for (int i = 0; i < size.sessions(); i++) {
            cluster.callers.subscriber(
                    "sub-" + i,
                    i % 2 == 0 ? "key-members" : "key-half",
                    List.of(Callers.topic(i % size.topics()), Callers.topic(cluster.random.nextInt(size.topics())))
                            .stream()
                            .distinct()
                            .toList());
        }
        for (int i = 0; i < 3; i++) {
            cluster.callers.reconnectingSubscriber(
                    "restless-" + i, "key-members", List.of(Callers.topic(i), Callers.topic(i + 3)));
        }
        for (int i = 0; i < 4; i++) {
            cluster.callers.subscriber("clues-" + i, "key-members", List.of("clues/t2", "clues/t5"));
        }
        cluster.callers.publisher("guest-1", "permits/t0", "key-guest", 500, 5);
        cluster.callers.subscriber("guest", "key-guest", List.of("permits/t0"));
    }

    /**
     * Ends all faults and checks the recovery: each kind of request is served again within the recovery bound, and
     * everything committed reads back.
     */
    private Outcome checkRecovery() {
        dayFaults.endFaults();
        final long faultsEndedAt = cluster.now();
        // the recovery bound, the period that is checked, and the time-out of the last requests in it
        cluster.run(faultsEndedAt + cluster.timing.recoverMs() + 12_000);
        cluster.callers.quiet = true;
        cluster.run(cluster.now() + 30_000);
        cluster.history.settle(cluster.now());
        checkReadBack();
        checkSameLogs();
        // lets the last usage window of the day end and its report arrive in time
        cluster.run(cluster.now() + cluster.timing.windowMs() + 11_000);
        cluster.platform.settle();
        long trace = 17;
        for (final String note : cluster.notes()) {
            trace = trace * 31 + note.hashCode();
        }
        return new Outcome(
                plan.seed,
                cluster.history.violations(),
                cluster.history.committed(),
                cluster.history.delivered(),
                cluster.counts,
                cluster.history.latencies(),
                cluster.publishLatencies,
                cluster.leaderless(),
                cluster.net.crossZoneBytes,
                cluster.notes(),
                trace);
    }

    /** Checks that the newest configuration reads as the one confirmed last, or as a newer one. */
    private void checkReadBack() {
        final long newest = cluster.history.newestConfirmed();
        final boolean[] read = new boolean[1];
        cluster.callers.operators.readConfiguration(r -> {
            read[0] = true;
            try (var rd = jakarta.json.Json.createReader(
                    new ByteArrayInputStream(r.json().getBytes(UTF_8)))) {
                final var obj = rd.readObject();
                if (r.status() != 200 || obj.getInt("version") < newest) {
                    cluster.history.violation(
                            cluster.now(),
                            "newest configuration reads as " + r.status() + " " + r.json() + ", confirmed was "
                                    + newest);
                } else if (obj.getInt("version") == newest
                        && !obj.getJsonObject("document")
                                .getString("changeId")
                                .equals(cluster.history.confirmedAs(newest))) {
                    cluster.history.violation(
                            cluster.now(), "configuration " + newest + " reads back as another change");
                }
            }
        });
        cluster.run(cluster.now() + 4_000);
        if (!read[0]) {
            cluster.history.violation(cluster.now(), "newest configuration could not be read");
        }
    }

    /** Checks that all members of a group hold the same record at each committed position. */
    private void checkSameLogs() {
        for (int g = 0; g < cluster.groups; g++) {
            final TreeMap<Long, byte[]> all = new TreeMap<>();
            for (final int id : cluster.storages) {
                if (!(cluster.processes.get(id).node() instanceof StorageNode s) || s.group(g) == null) {
                    continue;
                }
                for (long index = s.group(g).baseIndex() + 1;
                        index <= s.group(g).committed();
                        index++) {
                    final LogRecord logRecord = s.group(g).logRecord(index);
                    final byte[] other = all.putIfAbsent(index, logRecord.bytes());
                    if (other != null && !java.util.Arrays.equals(other, logRecord.bytes())) {
                        cluster.history.violation(
                                cluster.now(), "group " + g + " has different records at committed position " + index);
                    }
                }
            }
        }
    }
}
