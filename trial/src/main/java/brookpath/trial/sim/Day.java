package brookpath.trial.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Job;
import brookpath.coordination.node.StorageNode;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One seeded day: a fleet, its callers and operators, failures, and a morning after on which all is read back. */
public final class Day {
    private static final long LULL = 24_000;
    private static final int MAX_WRONG_CLOCKS = 2;

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
        FRONTS_RESTART,
        RACE,
        LAST_ACT,
        ROT
    }

    /** What a day is made of. */
    public record Plan(
            long seed,
            Shape shape,
            long lengthMs,
            long faultEveryMs,
            EnumSet<Fault> faults,
            EnumSet<Mutation> mutations,
            Ending ending) {
        public static Plan of(final long seed, final EnumSet<Fault> faults) {
            return new Plan(
                    seed,
                    Shape.SMALL,
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

        public Plan sized(final Shape other) {
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
            int accepted,
            int delivered,
            TreeMap<String, Integer> counts,
            List<Long> latencies,
            List<Long> sendToAccept,
            List<Long> masterless,
            TreeMap<String, Long> crossZoneBytes,
            List<String> notes,
            long trace) {
        public boolean good() {
            return violations.isEmpty();
        }

        @Override
        public String toString() {
            return "seed " + seed + ": accepted " + accepted + ", delivered " + delivered + ", " + counts
                    + (violations.isEmpty() ? "" : "\n  " + String.join("\n  ", violations));
        }
    }

    private final Plan plan;
    private final World world;
    private int strikes;
    private long drainingUntil;
    /** What a failure had still in store does not come any more. */
    private boolean morning;

    private Day(final Plan plan) {
        this.plan = plan;
        world = new World(plan.seed, plan.shape, plan.mutations);
        world.mayCrash = p -> {
            final boolean may = !morning && othersWell(p);
            if (may) {
                back(p, 300 + world.rnd.nextLong(3_000));
            }
            return may;
        };
    }

    public static Outcome live(final Plan plan) {
        return new Day(plan).live();
    }

    /** A calm day's world after its people have been about for the plan's length, for measurements. */
    static World calm(final Plan plan) {
        final Day day = new Day(plan);
        day.begin();
        day.world.run(day.world.now() + plan.lengthMs);
        return day.world;
    }

    private void begin() {
        world.run(4_000);
        world.callers.change(world.callers.document(0, "first", true), "first", r -> {
            if (r.status() != 200) {
                world.history.violation(world.now(), "the first change was not confirmed: " + r);
            }
        });
        world.run(8_000);
        people();
        world.run(11_000);
    }

    private Outcome live() {
        begin();
        world.callers.operators(2_000);
        long next = world.now() + plan.faultEveryMs;
        final List<Fault> faults = new ArrayList<>(plan.faults);
        final long end = world.now() + plan.lengthMs;
        while (world.now() < end && !faults.isEmpty()) {
            world.run(Math.min(end, next));
            // why: now and then a lull in which all machines are back, so that recovery is judged in mid-day, too
            next = world.now()
                    + plan.faultEveryMs / 2
                    + world.rnd.nextLong(plan.faultEveryMs)
                    + (++strikes % 6 == 0 ? LULL : 0);
            strike(faults.get(world.rnd.nextInt(faults.size())));
            if (world.rnd.nextInt(4) == 0) {
                strike(faults.get(world.rnd.nextInt(faults.size())));
            }
        }
        world.run(end);
        if (plan.ending != Ending.CALM && !faults.isEmpty()) {
            strike(faults.get(world.rnd.nextInt(faults.size())));
            world.run(world.now() + 1_000);
        }
        if (plan.ending == Ending.ONE_GONE) {
            loseOne();
        }
        return morningAfter();
    }

    /**
     * Two senders a topic at the shape's rate, one patient and one of any; half of the sessions live on a key that
     * comes and goes.
     */
    private void people() {
        final Shape shape = plan.shape;
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
                    List.of(Callers.topic(i % shape.topics()), Callers.topic(world.rnd.nextInt(shape.topics())))
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

    /** One machine with a disk is lost with all it had, right after it acted, and never comes back. */
    private void loseOne() {
        Proc p = null;
        for (int i = 0; i < 200 && (p == null || !othersWell(p)); i++) {
            // why: never two at a time; the last failure's victim is waited for
            world.run(world.now() + 100);
            p = world.rnd.nextInt(3) == 0 ? any(world.controllers) : owner();
        }
        if (p != null && othersWell(p)) {
            world.count("gone for good");
            p.goneForGood = true;
            world.kill(p, true);
            p.disk.wipe();
            world.run(world.now() + 1_000);
        }
    }

    /**
     * Machines come back; within the bound service is back too, for each kind of job; then everything accepted is read
     * back.
     */
    private Outcome morningAfter() {
        morning = true;
        world.armed = null;
        world.net.linkLoss.clear();
        world.net.heal();
        world.net.lossPerMille = 0;
        world.net.extraDelay = 0;
        for (final Proc p : world.procs.values()) {
            p.syncMs = 2;
            if (p.disk != null) {
                p.disk.full(false);
            }
            p.frozenUntil = Math.min(p.frozenUntil, world.now());
            if (!p.goneForGood) {
                world.restart(p);
            }
        }
        final long healed = world.now();
        // why: the bound, the span that is judged, and the patience of those who asked last in it
        world.run(healed + world.tempo.recoverMs() + 12_000);
        world.callers.quiet = true;
        world.run(world.now() + 30_000);
        world.history.settle(world.now());
        final long newest = world.history.newestConfirmed();
        final boolean[] read = new boolean[1];
        world.callers.readSpec(r -> {
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
        sameLogs();
        // why: the last window of the day ends, and its report has its time
        world.run(world.now() + world.tempo.windowMs() + 11_000);
        world.platform.settle();
        long trace = 17;
        for (final String note : world.notes()) {
            trace = trace * 31 + note.hashCode();
        }
        return new Outcome(
                plan.seed,
                world.history.violations(),
                world.history.accepted(),
                world.history.delivered(),
                world.counts,
                world.history.latencies(),
                world.sendToAccept,
                world.masterless,
                world.net.crossZoneBytes,
                world.notes(),
                trace);
    }

    /** All members of a group hold the same record at the same accepted position. */
    private void sameLogs() {
        for (int g = 0; g < world.groups; g++) {
            final TreeMap<Long, byte[]> all = new TreeMap<>();
            for (final int id : world.storages) {
                if (!(world.procs.get(id).node() instanceof StorageNode s) || s.group(g) == null) {
                    continue;
                }
                for (long lsn = s.group(g).baseLsn() + 1; lsn <= s.group(g).accepted(); lsn++) {
                    final Rec rec = s.group(g).rec(lsn);
                    final byte[] other = all.putIfAbsent(lsn, rec.bytes());
                    if (other != null && !java.util.Arrays.equals(other, rec.bytes())) {
                        world.history.violation(
                                world.now(), "group " + g + " has two records at accepted position " + lsn);
                    }
                }
            }
        }
    }

    // ---- failures: never more than one storage machine and one controller out at a time, as the users must survive

    private Proc any(final List<Integer> of) {
        return world.procs.get(of.get(world.rnd.nextInt(of.size())));
    }

    private Proc victim() {
        final int kind = world.rnd.nextInt(10);
        return kind < 6 ? any(world.storages) : kind < 8 ? any(world.controllers) : any(world.fronts);
    }

    private boolean othersWell(final Proc p) {
        final List<Integer> kin = world.controllers.contains(p.id)
                ? world.controllers
                : world.storages.contains(p.id) ? world.storages : world.fronts;
        for (final int id : kin) {
            final Proc other = world.procs.get(id);
            if (id != p.id && (!other.alive || other.frozen() || sick(other))) {
                return false;
            }
        }
        return p.alive;
    }

    /** A member that is being rebuilt is out, too. */
    private boolean sick(final Proc p) {
        if (p.node() instanceof StorageNode s) {
            for (int g = 0; g < world.groups; g++) {
                if (s.group(g) != null && s.group(g).lost()) {
                    return true;
                }
            }
        }
        return p.node() instanceof ControllerNode b && b.group().lost();
    }

    private void back(final Proc p, final long after) {
        world.at(world.now() + after, () -> {
            if (!p.goneForGood) {
                world.restart(p);
            }
        });
    }

    private void strike(final Fault fault) {
        final Proc p = victim();
        final long span = 300 + world.rnd.nextLong(5_000);
        switch (fault) {
            case KILL -> down(p, false, span, () -> {});
            case POWER -> down(p, true, span, () -> {});
            case OWNER_DIES -> down(owner(), world.rnd.nextBoolean(), span, () -> {});
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
                final List<Integer> from = new ArrayList<>();
                for (final Proc other : world.procs.values()) {
                    if (other != p && world.rnd.nextInt(3) > 0) {
                        from.add(other.id);
                        world.net.cut(p.id, other.id);
                        if (fault == Fault.CUT) {
                            world.net.cut(other.id, p.id);
                        }
                    }
                }
                world.note(
                        p.id,
                        (fault == Fault.CUT ? "is cut off from " : "is not heard by ") + from + " for " + span,
                        false);
                world.at(world.now() + span, world.net::heal);
            }
            case LOSS -> {
                world.net.lossPerMille = 5 + world.rnd.nextInt(30);
                world.at(world.now() + span, () -> world.net.lossPerMille = 0);
            }
            case SLOW_NET -> {
                world.net.extraDelay = 5L + world.rnd.nextInt(60);
                world.at(world.now() + span, () -> world.net.extraDelay = 0);
            }
            case SLOW_DISK -> {
                p.syncMs = 20L + world.rnd.nextInt(800);
                world.at(world.now() + span, () -> p.syncMs = 2);
            }
            case CLOCK -> {
                // why: which clock is right is told by the most; a few wrong ones must not matter, wherever they are
                final List<Proc> wrong = new ArrayList<>(
                        world.procs.values().stream().filter(o -> o.skew != 0).toList());
                if (wrong.size() >= MAX_WRONG_CLOCKS) {
                    any(wrong.stream().map(o -> o.id).toList()).skew = 0;
                }
                p.skew = world.rnd.nextLong(120_000) - 60_000;
                world.count("wrong clocks");
            }
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
                world.platform.trouble(span * (world.rnd.nextInt(3) == 0 ? 8 : 2), world.rnd.nextBoolean());
            }
            case RESETS -> world.callers.resetAll();
            case FULL_DISK -> {
                if (p.disk != null && othersWell(p)) {
                    world.count("full disks");
                    p.disk.full(true);
                    // why: whoever looks after it starts it again and again, full or not
                    for (long at = 1_000; at < span; at += 1_000) {
                        back(p, at);
                    }
                    world.at(world.now() + span, () -> p.disk.full(false));
                    back(p, span + 500);
                }
            }
            case STALLS -> {
                long at = 0;
                for (final Proc each : world.procs.values()) {
                    if (each.disk != null) {
                        world.at(world.now() + at, () -> each.syncMs = morning ? 2 : 600);
                        at += 700;
                        world.at(world.now() + at, () -> each.syncMs = 2);
                    }
                }
            }
            case LINK_LOSS -> {
                for (int i = 0; i < 4; i++) {
                    final Proc to = any(new ArrayList<>(world.procs.keySet()));
                    world.net.linkLoss.put(Net.link(p.id, to.id), 50 + world.rnd.nextInt(250));
                }
                world.at(world.now() + span, world.net.linkLoss::clear);
            }
            case RETIRE -> {
                final int node = any(world.storages).id;
                world.callers.operate("retire", Pack.writer().num(node).num(1).done());
                world.at(
                        world.now() + 3 * span,
                        () -> world.callers.operate(
                                "retire", Pack.writer().num(node).num(0).done()));
            }
            case SWITCHOVER ->
                world.callers.operate(
                        "handover",
                        Pack.writer()
                                .num(world.rnd.nextInt(world.groups))
                                .num(any(world.storages).id)
                                .done());
            case DRAIN -> {
                // why: who drains all fronts at once has asked for it
                if (world.now() >= drainingUntil) {
                    final Proc front = any(world.fronts);
                    drainingUntil = world.now() + 2 * span + 1_000;
                    world.callers.asked(front, id -> new Job.Drain(id, true), r -> world.count("drains"));
                    world.at(
                            world.now() + 2 * span,
                            () -> world.callers.asked(front, id -> new Job.Drain(id, false), r -> {}));
                }
            }
            case FRONTS_RESTART -> {
                world.count("all fronts restarted");
                for (final int id : world.fronts) {
                    world.at(world.now() + world.rnd.nextInt(200), () -> {
                        if (!morning) {
                            world.kill(world.procs.get(id), false);
                            back(world.procs.get(id), 400);
                        }
                    });
                }
            }
            case RACE -> {
                world.callers.race();
                world.at(
                        world.now() + 3 + world.rnd.nextInt(30),
                        () -> down(controlMaster(), world.rnd.nextBoolean(), span, () -> {}));
            }
            case ROT -> {
                // why: one copy goes bad on a running machine, on its disk or in its memory
                if (p.disk != null && othersWell(p) && world.rnd.nextInt(3) == 0) {
                    world.count(p.disk.corrupt(world.rnd) ? "rotten disks" : "no rot");
                } else if (p.node() instanceof StorageNode s && othersWell(p)) {
                    final GroupMachine g = s.group(world.rnd.nextInt(world.groups));
                    if (g != null && g.accepted() > g.baseLsn()) {
                        final byte[] rec = g.rec(g.baseLsn() + 1 + world.rnd.nextLong(g.accepted() - g.baseLsn()))
                                .bytes();
                        final int at = rec.length - 1 - world.rnd.nextInt(8);
                        rec[at] = (byte) (rec[at] ^ 1 << world.rnd.nextInt(8));
                        world.count("rotten records");
                    }
                }
            }
            case LAST_ACT -> {
                final List<CrashPoint> points = List.of(CrashPoint.values());
                world.armed = points.get(world.rnd.nextInt(points.size()));
            }
            case ROLLING -> {
                world.count("rolling restarts");
                long at = 0;
                for (final Proc each : world.procs.values()) {
                    at += 1_500;
                    world.at(world.now() + at, () -> down(each, false, 700, () -> {}));
                }
            }
        }
        world.count("faults");
    }

    private void down(final Proc p, final boolean power, final long span, final Runnable meanwhile) {
        if (p == null || morning || !othersWell(p)) {
            return;
        }
        world.count(power ? "power losses" : "kills");
        world.kill(p, power);
        meanwhile.run();
        back(p, span);
    }

    private Proc controlMaster() {
        for (final int id : world.controllers) {
            final Proc p = world.procs.get(id);
            if (p.alive && !p.frozen() && ((ControllerNode) p.node()).group().mayAct(p.mono())) {
                return p;
            }
        }
        return null;
    }

    /** A member that masters something just now. */
    private Proc owner() {
        final List<Proc> owners = new ArrayList<>();
        for (final Map.Entry<Integer, Proc> e : world.procs.entrySet()) {
            final Proc p = e.getValue();
            if (p.alive && !p.frozen() && p.node() instanceof StorageNode s) {
                for (int g = 0; g < world.groups; g++) {
                    if (s.group(g) != null && s.group(g).mayAct(p.mono())) {
                        owners.add(p);
                    }
                }
            } else if (p.alive
                    && !p.frozen()
                    && p.node() instanceof ControllerNode b
                    && b.group().mayAct(p.mono())) {
                owners.add(p);
            }
        }
        return owners.isEmpty() ? null : owners.get(world.rnd.nextInt(owners.size()));
    }
}
