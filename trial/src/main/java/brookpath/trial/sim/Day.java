package brookpath.trial.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.node.StorageNode;
import brookpath.state.record.Rec;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One seeded day: a fleet, its callers and operators, failures, and a morning after on which all is read back. */
public final class Day {
    private static final int GROUPS = 4;
    private static final int TOPICS = 8;

    /** What may go wrong in a day. */
    public enum Fault {
        KILL, POWER, FREEZE, CUT, ONE_WAY, LOSS, SLOW_DISK, SYNC_FAILS, DISK_LOST, CORRUPT, CLOCK, RESETS, ROLLING, OWNER_DIES, SLOW_NET, BLACKOUT, PLATFORM
    }

    /** @param lastFault whether the day ends on a failure */
    public record Plan(long seed, long lengthMs, long faultEveryMs, EnumSet<Fault> faults, EnumSet<Mutation> mutations, boolean lastFault) {
        public static Plan of(final long seed, final EnumSet<Fault> faults) {
            return new Plan(seed, 60_000, 4_000, faults, EnumSet.noneOf(Mutation.class), true);
        }

        public Plan broken(final Mutation mutation) {
            return new Plan(seed, lengthMs, faultEveryMs, faults, EnumSet.of(mutation), lastFault);
        }
    }

    /** What a day came to. */
    public record Outcome(long seed, List<String> violations, int accepted, int delivered, TreeMap<String, Integer> counts, List<Long> latencies,
                          List<Long> masterless, List<String> notes, long recoveredMs, long trace) {
        public boolean good() {
            return violations.isEmpty();
        }

        @Override
        public String toString() {
            return "seed " + seed + ": accepted " + accepted + ", delivered " + delivered + ", recovered in " + recoveredMs + " ms, " + counts
                    + (violations.isEmpty() ? "" : "\n  " + String.join("\n  ", violations));
        }
    }

    private final Plan plan;
    private final World world;
    private boolean storageOut;

    private Day(final Plan plan) {
        this.plan = plan;
        world = new World(plan.seed, GROUPS, 3, plan.mutations);
    }

    public static Outcome live(final Plan plan) {
        return new Day(plan).live();
    }

    private Outcome live() {
        world.run(4_000);
        world.callers.change(Callers.document(0, "first", true), "first", r -> {
            if (r.status() != 200) {
                world.history.violation(world.now(), "the first change was not confirmed: " + r);
            }
        });
        world.run(8_000);
        for (int i = 0; i < TOPICS; i++) {
            final String topic = (i % 3 == 0 ? "permits/" : i % 3 == 1 ? "closures/" : "clues/") + "t" + i;
            world.callers.publisher("ana", topic, "key-members", 400, 30);
            world.callers.publisher("bo", topic, "key-members", 700, i % 2 == 0 ? 1 : 30);
            world.callers.subscriber("sub-" + i, "key-members", List.of(topic, i % 3 == 2 ? "clues/t2" : "closures/t1"));
            world.callers.subscriber("clues-" + i, "key-members", List.of("clues/t2", "clues/t5"));
        }
        world.callers.publisher("guest", "permits/t0", "key-guest", 500, 5);
        world.callers.subscriber("guest", "key-guest", List.of("permits/t0"));
        world.run(11_000);
        world.callers.operators(6_000);
        long next = world.now() + plan.faultEveryMs;
        final List<Fault> faults = new ArrayList<>(plan.faults);
        final long end = world.now() + plan.lengthMs;
        while (world.now() < end && !faults.isEmpty()) {
            world.run(Math.min(end, next));
            next = world.now() + plan.faultEveryMs / 2 + world.rnd.nextLong(plan.faultEveryMs);
            strike(faults.get(world.rnd.nextInt(faults.size())));
            if (world.rnd.nextInt(4) == 0) {
                strike(faults.get(world.rnd.nextInt(faults.size())));
            }
        }
        world.run(end);
        if (plan.lastFault && !faults.isEmpty()) {
            strike(faults.get(world.rnd.nextInt(faults.size())));
            world.run(world.now() + 1_000);
        }
        return morningAfter();
    }

    /** Machines come back; within the bound service is back too; then everything accepted is read back. */
    private Outcome morningAfter() {
        world.net.heal();
        world.net.lossPerMille = 0;
        world.net.extraDelay = 0;
        for (final Proc p : world.procs.values()) {
            p.syncMs = 2;
            p.frozenUntil = Math.min(p.frozenUntil, world.now());
            world.restart(p);
        }
        final long healed = world.now();
        final int before = world.history.accepted();
        long recovered = -1;
        while (world.now() < healed + world.tempo.recoverMs()) {
            world.run(world.now() + 100);
            if (recovered < 0 && world.history.accepted() >= before + 2 * TOPICS) {
                recovered = world.now() - healed;
            }
        }
        if (recovered < 0) {
            world.history.violation(world.now(), "service is still mostly down " + (world.now() - healed) + " ms after machines came back");
        }
        world.callers.quiet = true;
        world.run(world.now() + 30_000);
        world.history.settle(world.now());
        final long newest = world.history.newestConfirmed();
        final boolean[] read = new boolean[1];
        world.callers.readSpec(r -> {
            read[0] = true;
            try (var rd = jakarta.json.Json.createReader(new ByteArrayInputStream(r.json().getBytes(UTF_8)))) {
                final var obj = rd.readObject();
                if (r.status() != 200 || obj.getInt("version") < newest) {
                    world.history.violation(world.now(), "newest spec reads as " + r.status() + " " + r.json() + ", confirmed was " + newest);
                } else if (obj.getInt("version") == newest
                        && !obj.getJsonObject("document").getString("changeId").equals(world.history.confirmedAs(newest))) {
                    world.history.violation(world.now(), "spec " + newest + " reads back as another change");
                }
            }
        });
        world.run(world.now() + 4_000);
        if (!read[0]) {
            world.history.violation(world.now(), "newest spec could not be read");
        }
        sameLogs();
        // why: a machine whose clock was a minute ahead has closed windows that others reach a minute later
        world.run(world.now() + (plan.faults.contains(Fault.CLOCK) ? 90_000 : 5_000));
        world.platform.settle();
        long trace = 17;
        for (final String note : world.notes()) {
            trace = trace * 31 + note.hashCode();
        }
        return new Outcome(plan.seed, world.history.violations(), world.history.accepted(), world.history.delivered(), world.counts,
                world.history.latencies(), world.masterless, world.notes(), recovered, trace);
    }

    /** All members of a group hold the same record at the same accepted position. */
    private void sameLogs() {
        for (int g = 0; g < GROUPS; g++) {
            final TreeMap<Long, byte[]> all = new TreeMap<>();
            for (final int id : world.storages) {
                if (!(world.procs.get(id).node() instanceof StorageNode s) || s.group(g) == null) {
                    continue;
                }
                for (long lsn = s.group(g).baseLsn() + 1; lsn <= s.group(g).accepted(); lsn++) {
                    final Rec rec = s.group(g).rec(lsn);
                    final byte[] other = all.putIfAbsent(lsn, rec.bytes());
                    if (other != null && !java.util.Arrays.equals(other, rec.bytes())) {
                        world.history.violation(world.now(), "group " + g + " has two records at accepted position " + lsn);
                    }
                }
            }
        }
    }

    // ---- failures: never more than one storage machine and one bailiff out at a time, as the users must survive

    private Proc any(final List<Integer> of) {
        return world.procs.get(of.get(world.rnd.nextInt(of.size())));
    }

    private Proc victim() {
        final int kind = world.rnd.nextInt(10);
        return kind < 6 ? any(world.storages) : kind < 8 ? any(world.bailiffs) : any(world.fronts);
    }

    private boolean othersWell(final Proc p) {
        final List<Integer> kin = world.bailiffs.contains(p.id) ? world.bailiffs : world.storages.contains(p.id) ? world.storages : world.fronts;
        for (final int id : kin) {
            final Proc other = world.procs.get(id);
            if (id != p.id && (!other.alive || other.frozen() || sick(other))) {
                return false;
            }
        }
        return p.alive;
    }

    /** A member that is being rebuilt is out, too. */
    private static boolean sick(final Proc p) {
        if (p.node() instanceof StorageNode s) {
            for (int g = 0; g < GROUPS; g++) {
                if (s.group(g) != null && s.group(g).lost()) {
                    return true;
                }
            }
        }
        return p.node() instanceof brookpath.coordination.node.BailiffNode b && b.group().lost();
    }

    private void back(final Proc p, final long after) {
        world.at(world.now() + after, () -> world.restart(p));
    }

    private void strike(final Fault fault) {
        final Proc p = victim();
        final long span = 300 + world.rnd.nextLong(5_000);
        switch (fault) {
            case KILL -> down(p, false, span, () -> { });
            case POWER -> down(p, true, span, () -> { });
            case OWNER_DIES -> down(owner(), world.rnd.nextBoolean(), span, () -> { });
            case DISK_LOST -> {
                if (p.disk != null) {
                    down(p, true, span, p.disk::wipe);
                }
            }
            case CORRUPT -> {
                if (p.disk != null) {
                    down(p, false, span, () -> {
                        if (p.disk.corrupt(world.rnd)) {
                            world.count("corruptions");
                        }
                    });
                }
            }
            case SYNC_FAILS -> {
                if (p.disk != null && othersWell(p)) {
                    p.disk.failing(true);
                    back(p, span + 1_000);
                    world.at(world.now() + span, () -> p.disk.failing(false));
                }
            }
            case FREEZE -> {
                if (othersWell(p)) {
                    world.count("freezes");
                    world.freeze(p, span);
                }
            }
            case CUT, ONE_WAY -> {
                world.count("cuts");
                world.note(p.id, "is cut off in part for " + span, false);
                for (final Proc other : world.procs.values()) {
                    if (other != p && world.rnd.nextInt(3) > 0) {
                        world.net.cut(p.id, other.id);
                        if (fault == Fault.CUT) {
                            world.net.cut(other.id, p.id);
                        }
                    }
                }
                world.at(world.now() + span, world.net::heal);
            }
            case LOSS -> {
                world.net.lossPerMille = 5 + world.rnd.nextInt(30);
                world.at(world.now() + span, () -> world.net.lossPerMille = 0);
            }
            case SLOW_NET -> {
                world.net.extraDelay = 5 + world.rnd.nextInt(60);
                world.at(world.now() + span, () -> world.net.extraDelay = 0);
            }
            case SLOW_DISK -> {
                p.syncMs = 20 + world.rnd.nextInt(800);
                world.at(world.now() + span, () -> p.syncMs = 2);
            }
            case CLOCK -> p.skew = world.rnd.nextLong(120_000) - 60_000;
            case BLACKOUT -> {
                // why: only synced bytes count, so even all machines losing power at once loses nothing accepted
                world.count("blackouts");
                for (final Proc each : world.procs.values()) {
                    world.kill(each, true);
                    back(each, 200 + world.rnd.nextInt(1_500));
                }
            }
            case PLATFORM -> {
                world.count("platform troubles");
                world.platform.trouble(span * 2);
            }
            case RESETS -> world.callers.resetAll();
            case ROLLING -> {
                world.count("rolling restarts");
                long at = 0;
                for (final Proc each : world.procs.values()) {
                    at += 1_500;
                    world.at(world.now() + at, () -> down(each, false, 700, () -> { }));
                }
            }
        }
        world.count("faults");
    }

    private void down(final Proc p, final boolean power, final long span, final Runnable meanwhile) {
        if (p == null || !othersWell(p)) {
            return;
        }
        world.count(power ? "power losses" : "kills");
        world.kill(p, power);
        meanwhile.run();
        back(p, span);
    }

    /** A member that masters something just now. */
    private Proc owner() {
        final List<Proc> owners = new ArrayList<>();
        for (final Map.Entry<Integer, Proc> e : world.procs.entrySet()) {
            final Proc p = e.getValue();
            if (p.alive && !p.frozen() && p.node() instanceof StorageNode s) {
                for (int g = 0; g < GROUPS; g++) {
                    if (s.group(g) != null && s.group(g).mayAct(p.mono())) {
                        owners.add(p);
                    }
                }
            } else if (p.alive && !p.frozen() && p.node() instanceof brookpath.coordination.node.BailiffNode b && b.group().mayAct(p.mono())) {
                owners.add(p);
            }
        }
        return owners.isEmpty() ? null : owners.get(world.rnd.nextInt(owners.size()));
    }
}
