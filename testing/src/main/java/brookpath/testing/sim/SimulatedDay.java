package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.node.StorageNode;
import brookpath.state.record.LogRecord;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.TreeMap;

/** One seeded day: a fleet, its callers and operators, failures, and a morning after on which all is read back. */
public final class SimulatedDay {
    private static final long LULL = 24_000;

    /** What may go wrong in a day. */
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

    /** What a day is made of. */
    public record Plan(
            long seed,
            FleetSize shape,
            long lengthMs,
            long faultEveryMs,
            EnumSet<Fault> faults,
            EnumSet<Mutation> mutations,
            Ending ending) {
        public static Plan of(final long seed, final EnumSet<Fault> faults) {
            return new Plan(
                    seed,
                    FleetSize.SMALL,
                    60_000,
                    4_000,
                    faults,
                    EnumSet.noneOf(Mutation.class),
                    faults.isEmpty() ? Ending.CALM : Ending.ON_A_FAULT);
        }

        public Plan broken(final Mutation mutation) {
            return new Plan(seed, shape, lengthMs, faultEveryMs, faults, EnumSet.of(mutation), ending);
        }

        public Plan ending(final Ending other) {
            return new Plan(seed, shape, lengthMs, faultEveryMs, faults, mutations, other);
        }

        public Plan sized(final FleetSize other) {
            return new Plan(seed, other, lengthMs, faultEveryMs, faults, mutations, ending);
        }

        public Plan lasting(final long ms) {
            return new Plan(seed, shape, ms, faultEveryMs, faults, mutations, ending);
        }
    }

    /** How a day ends: without a failure, on one, or on one whose victim, a disk machine, is never seen again. */
    public enum Ending {
        CALM,
        ON_A_FAULT,
        ONE_GONE
    }

    /** What a day came to. */
    public record Outcome(
            long seed,
            List<String> violations,
            int committed,
            int delivered,
            TreeMap<String, Integer> counts,
            List<Long> latencies,
            List<Long> sendToAccept,
            List<Long> leaderless,
            TreeMap<String, Long> crossZoneBytes,
            List<String> notes,
            long trace) {
        public boolean good() {
            return violations.isEmpty();
        }

        @Override
        public String toString() {
            return "seed " + seed + ": accepted " + committed + ", delivered " + delivered + ", " + counts
                    + (violations.isEmpty() ? "" : "\n  " + String.join("\n  ", violations));
        }
    }

    private final Plan plan;
    private final SimulatedCluster world;
    private int strikes;
    private final DayFaults failures;

    private SimulatedDay(final Plan plan, final ActionObserver observer) {
        this.plan = plan;
        world = new SimulatedCluster(plan.seed, plan.shape, plan.mutations);
        world.observer = observer;
        failures = new DayFaults(world);
    }

    public static Outcome live(final Plan plan) {
        return live(plan, ActionObserver.NONE);
    }

    /** Plays the day and shows the observer the actions of all processes. */
    public static Outcome live(final Plan plan, final ActionObserver observer) {
        return new SimulatedDay(plan, observer).live();
    }

    /**
     * Plays the day up to its last fault, without the recovery, and shows the observer the actions of all processes.
     */
    public static void playFaults(final Plan plan, final ActionObserver observer) {
        new SimulatedDay(plan, observer).playFaults();
    }

    /** A calm day's world after its people have been about for the plan's length, for measurements. */
    static SimulatedCluster calm(final Plan plan) {
        final SimulatedDay day = new SimulatedDay(plan, ActionObserver.NONE);
        day.begin();
        day.world.run(day.world.now() + plan.lengthMs);
        return day.world;
    }

    private void begin() {
        world.run(4_000);
        world.callers.operators.change(world.callers.operators.document(0, "first", true), "first", r -> {
            if (r.status() != 200) {
                world.history.violation(world.now(), "the first change was not confirmed: " + r);
            }
        });
        world.run(8_000);
        people();
        world.run(11_000);
    }

    private Outcome live() {
        playFaults();
        return morningAfter();
    }

    private void playFaults() {
        begin();
        world.callers.operators.raceOnAndOn(2_000);
        long next = world.now() + plan.faultEveryMs;
        final List<Fault> faults = new ArrayList<>(plan.faults);
        final long end = world.now() + plan.lengthMs;
        while (world.now() < end && !faults.isEmpty()) {
            world.run(Math.min(end, next));
            // why: now and then a lull in which all machines are back, so that recovery is judged in mid-day, too
            next = world.now()
                    + plan.faultEveryMs / 2
                    + world.random.nextLong(plan.faultEveryMs)
                    + (++strikes % 6 == 0 ? LULL : 0);
            failures.strike(faults.get(world.random.nextInt(faults.size())));
            if (world.random.nextInt(4) == 0) {
                failures.strike(faults.get(world.random.nextInt(faults.size())));
            }
        }
        world.run(end);
        if (plan.ending != Ending.CALM && !faults.isEmpty()) {
            failures.strike(faults.get(world.random.nextInt(faults.size())));
            world.run(world.now() + 1_000);
        }
        if (plan.ending == Ending.ONE_GONE) {
            failures.loseOne();
        }
    }

    /**
     * Two senders a topic at the shape's rate, one patient and one of any; half of the sessions live on a key that
     * comes and goes.
     */
    private void people() {
        final FleetSize shape = plan.shape;
        final long every = (long) (2_000 * shape.topics() / shape.perSecond());
        final List<String> tenants = world.callers.tenants();
        for (int i = 0; i < shape.topics(); i++) {
            final String tenant = tenants.size() > 3 ? tenants.get(3 + i % (tenants.size() - 3)) : "members";
            world.callers.publisher("ana", Callers.topic(i), "key-members", every, 30);
            world.callers.publisher(tenant + "-bo", Callers.topic(i), "key-" + tenant, every, i % 2 == 0 ? 1 : 30);
        }
        for (int i = 0; i < 4; i++) {
            world.callers.publisher("half-" + i, Callers.topic(i), "key-half", 1_000, 5);
        }
        for (int i = 0; i < shape.sessions(); i++) {
            world.callers.subscriber(
                    "sub-" + i,
                    i % 2 == 0 ? "key-members" : "key-half",
                    List.of(Callers.topic(i % shape.topics()), Callers.topic(world.random.nextInt(shape.topics())))
                            .stream()
                            .distinct()
                            .toList());
        }
        for (int i = 0; i < 3; i++) {
            world.callers.restless("restless-" + i, "key-members", List.of(Callers.topic(i), Callers.topic(i + 3)));
        }
        for (int i = 0; i < 4; i++) {
            world.callers.subscriber("clues-" + i, "key-members", List.of("clues/t2", "clues/t5"));
        }
        world.callers.publisher("guest-1", "permits/t0", "key-guest", 500, 5);
        world.callers.subscriber("guest", "key-guest", List.of("permits/t0"));
    }

    /**
     * Machines come back; within the bound service is back too, for each kind of request; then everything committed is
     * read back.
     */
    private Outcome morningAfter() {
        failures.end();
        final long healed = world.now();
        // why: the bound, the span that is judged, and the patience of those who asked last in it
        world.run(healed + world.timing.recoverMs() + 12_000);
        world.callers.quiet = true;
        world.run(world.now() + 30_000);
        world.history.settle(world.now());
        readBack();
        sameLogs();
        // why: the last window of the day ends, and its report has its time
        world.run(world.now() + world.timing.windowMs() + 11_000);
        world.platform.settle();
        long trace = 17;
        for (final String note : world.notes()) {
            trace = trace * 31 + note.hashCode();
        }
        return new Outcome(
                plan.seed,
                world.history.violations(),
                world.history.committed(),
                world.history.delivered(),
                world.counts,
                world.history.latencies(),
                world.sendToAccept,
                world.leaderless,
                world.net.crossZoneBytes,
                world.notes(),
                trace);
    }

    /** The newest configuration reads as what was confirmed last, or as something newer. */
    private void readBack() {
        final long newest = world.history.newestConfirmed();
        final boolean[] read = new boolean[1];
        world.callers.operators.readConfiguration(r -> {
            read[0] = true;
            try (var rd = jakarta.json.Json.createReader(
                    new ByteArrayInputStream(r.json().getBytes(UTF_8)))) {
                final var obj = rd.readObject();
                if (r.status() != 200 || obj.getInt("version") < newest) {
                    world.history.violation(
                            world.now(),
                            "newest spec reads as " + r.status() + " " + r.json() + ", confirmed was " + newest);
                } else if (obj.getInt("version") == newest
                        && !obj.getJsonObject("document")
                                .getString("changeId")
                                .equals(world.history.confirmedAs(newest))) {
                    world.history.violation(world.now(), "spec " + newest + " reads back as another change");
                }
            }
        });
        world.run(world.now() + 4_000);
        if (!read[0]) {
            world.history.violation(world.now(), "newest spec could not be read");
        }
    }

    /** All members of a group hold the same record at the same committed position. */
    private void sameLogs() {
        for (int g = 0; g < world.groups; g++) {
            final TreeMap<Long, byte[]> all = new TreeMap<>();
            for (final int id : world.storages) {
                if (!(world.processes.get(id).node() instanceof StorageNode s) || s.group(g) == null) {
                    continue;
                }
                for (long index = s.group(g).baseIndex() + 1;
                        index <= s.group(g).committed();
                        index++) {
                    final LogRecord logRecord = s.group(g).logRecord(index);
                    final byte[] other = all.putIfAbsent(index, logRecord.bytes());
                    if (other != null && !java.util.Arrays.equals(other, logRecord.bytes())) {
                        world.history.violation(
                                world.now(), "group " + g + " has two records at accepted position " + index);
                    }
                }
            }
        }
    }
}
