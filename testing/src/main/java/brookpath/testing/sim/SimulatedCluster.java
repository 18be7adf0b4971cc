package brookpath.testing.sim;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.testing.oracle.History;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** A whole fleet under virtual time: one seed gives one history, always the same. */
public final class SimulatedCluster {
    static final long WALL = 1_700_000_000_000L;
    private static final long ROLL_BYTES = 64 << 10;
    private static final int NOTES = 4000;

    private record Due(long at, long order, Runnable what) {}

    private static final List<Integer> SEEDS = List.of(1, 2, 3);

    public final SplittableRandom random;
    public final TimingBounds timing;
    private final TimingBounds controlTiming;
    public final History history = new History();
    public final TreeMap<Integer, SimulatedProcess> processes = new TreeMap<>();
    public final TreeMap<String, Integer> counts = new TreeMap<>();
    public final EnumSet<Mutation> mutations;
    final SimulatedNetwork net = new SimulatedNetwork(this);
    final Callers callers;
    public final Platform platform;
    final FleetSize shape;
    final int groups;
    final ExpectedOutages wellness = new ExpectedOutages(this);
    public final List<Long> sendToAccept = new ArrayList<>();
    final List<Integer> controllers = new ArrayList<>();
    final List<Integer> storages = new ArrayList<>();
    final List<Integer> gateways = new ArrayList<>();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final ArrayDeque<String> notes = new ArrayDeque<>();
    private final TreeMap<Integer, Long> actedAt = new TreeMap<>();
    /** How long groups were without an acting leader, each time. */
    public final List<Long> leaderless = new ArrayList<>();

    /** Set before the first run: how many machines at once the fleet is founded to lose. */
    int toleratedLosses = 1;

    /** Sees the actions of all processes; set before the first run. */
    ActionObserver observer = ActionObserver.NONE;

    private long now;
    private long order;

    public SimulatedCluster(final long seed, final FleetSize shape, final EnumSet<Mutation> mutations) {
        this(seed, shape, mutations, TimingBounds.DEFAULT, TimingBounds.DEFAULT);
    }

    /** @param controlTiming of the control plane's processes */
    SimulatedCluster(
            final long seed,
            final FleetSize shape,
            final EnumSet<Mutation> mutations,
            final TimingBounds timing,
            final TimingBounds controlTiming) {
        this.timing = timing;
        this.controlTiming = controlTiming;
        random = new SplittableRandom(seed);
        this.mutations = mutations;
        this.shape = shape;
        groups = shape.groups();
        platform = new Platform(this);
        callers = new Callers(this);
        final String[] zones = {"a", "b", "c", "d"};
        final List<Member> members = List.of(new Member(1, 50, ""), new Member(2, 50, ""), new Member(3, 50, ""));
        for (int i = 1; i <= 3; i++) {
            controllers.add(i);
            final SimulatedProcess p = new SimulatedProcess(this, i, zones[i - 1], true, (process, entries) -> {
                final ControllerNode node = new ControllerNode(
                        process.id,
                        members,
                        new GroupBootstrap(groups, 3, 4, toleratedLosses),
                        controlTiming,
                        random.nextLong(),
                        process.life << 32,
                        ROLL_BYTES);
                entries.forEach(e -> node.replay(e, process.time()));
                return node;
            });
            p.foundOnStart = true;
            processes.put(i, p);
        }
        for (int i = 0; i < 4; i++) {
            storage(11 + i, zones[i]);
        }
        for (int i = 0; i < shape.gateways(); i++) {
            gateways.add(31 + i);
            final String zone = zones[i % zones.length];
            processes.put(
                    31 + i,
                    new SimulatedProcess(
                            this,
                            31 + i,
                            zone,
                            false,
                            (process, entries) -> new GatewayNode(process.info(), SEEDS, timing, process.life << 32)));
        }
        processes.values().forEach(p -> at(random.nextInt(500), p::start));
        at(0, this::watch);
        at(1_000, platform::watch);
    }

    /** One more controller that no founding names, as an operator would add it: empty, with these to ask first. */
    SimulatedProcess addController(final int id, final String zone, final List<Integer> seeds) {
        controllers.add(id);
        final SimulatedProcess added = new SimulatedProcess(this, id, zone, true, (process, entries) -> {
            final ControllerNode node = new ControllerNode(
                    process.info(),
                    List.of(),
                    seeds,
                    new GroupBootstrap(groups, 3, 4, toleratedLosses),
                    controlTiming,
                    random.nextLong(),
                    process.life << 32,
                    ROLL_BYTES);
            entries.forEach(e -> node.replay(e, process.time()));
            return node;
        });
        processes.put(id, added);
        added.start();
        return added;
    }

    private SimulatedProcess storage(final int id, final String zone) {
        storages.add(id);
        final SimulatedProcess added = new SimulatedProcess(this, id, zone, true, (process, entries) -> {
            final StorageNode node = new StorageNode(
                    process.info(), SEEDS, timing, 1, random.nextLong(), process.life << 32, ROLL_BYTES);
            entries.forEach(e -> node.replay(e, process.time()));
            return node;
        });
        processes.put(id, added);
        return added;
    }

    /** An empty storage machine that comes later, at a number of its own; it starts at once. */
    SimulatedProcess addStorage(final int id, final String zone) {
        final SimulatedProcess added = storage(id, zone);
        note(id, "is added", false);
        wellness.down(added);
        added.start();
        return added;
    }

    /** A small world whose first document is confirmed, and whose groups have leaders. */
    static SimulatedCluster serving(final long seed) {
        return serving(seed, TimingBounds.DEFAULT, TimingBounds.DEFAULT);
    }

    /** The same with other periods. */
    static SimulatedCluster serving(final long seed, final TimingBounds timing, final TimingBounds controlTiming) {
        final SimulatedCluster world =
                new SimulatedCluster(seed, FleetSize.SMALL, EnumSet.noneOf(Mutation.class), timing, controlTiming);
        world.run(4_000);
        world.callers.operators.change(world.callers.operators.document(0, "first", true), "first", r -> {
            if (r.status() != 200) {
                throw new IllegalStateException("the first change was not confirmed: " + r);
            }
        });
        world.run(8_000);
        return world;
    }

    public long now() {
        return now;
    }

    /** The periods of one process. */
    TimingBounds timingOf(final int id) {
        return controllers.contains(id) ? controlTiming : timing;
    }

    public void at(final long time, final Runnable what) {
        queue.add(new Due(Math.max(now, time), order++, what));
    }

    public void run(final long until) {
        while (!queue.isEmpty() && queue.peek().at <= until) {
            final Due due = queue.poll();
            now = due.at;
            due.what.run();
        }
        now = until;
    }

    public void count(final String what) {
        counts.merge(what, 1, Integer::sum);
    }

    public int counted(final String what) {
        return counts.getOrDefault(what, 0);
    }

    void note(final int node, final String text, final boolean grave) {
        notes.add(now + " node " + node + ": " + text);
        if (notes.size() > NOTES) {
            notes.poll();
        }
        if (text.contains("won epoch")) {
            count(node <= 3 ? "control elections" : "topic elections");
        }
        if (text.contains("diverged tail")) {
            count("diverged tails cut");
        }
        if (text.contains("full sync")) {
            count("full syncs");
        }
        if (grave) {
            history.violation(now, "node " + node + ": " + text);
        }
    }

    public List<String> notes() {
        return List.copyOf(notes);
    }

    /** Every few milliseconds: at most one member of a group may act as its leader. */
    private void watch() {
        final TreeMap<Integer, Integer> acting = new TreeMap<>();
        for (final SimulatedProcess p : processes.values()) {
            // why: a frozen process does nothing until it wakes, and is looked at again then
            if (!p.alive || p.frozen()) {
                continue;
            }
            if (p.node instanceof ControllerNode b) {
                acts(acting, b.group(), p);
            } else if (p.node instanceof StorageNode s) {
                for (int g = 0; g < groups; g++) {
                    if (s.group(g) != null) {
                        acts(acting, s.group(g), p);
                    }
                }
            }
        }
        acting.keySet().forEach(g -> {
            final Long since = actedAt.put(g, now);
            if (since != null && now - since > 5) {
                leaderless.add(now - since);
                if (now - since > timing.lease() + 2 * timing.down()) {
                    note(0, "group " + g + " had no acting master for " + (now - since) + " ms", false);
                }
            }
        });
        actedAt.forEach((g, since) -> {
            if (now - since > 1_000 && (now - since) % 500 < 5) {
                final StringBuilder sb = new StringBuilder("group " + g + " has no acting master:");
                for (final int id : storages) {
                    if (processes.get(id).alive
                            && processes.get(id).node instanceof StorageNode s
                            && s.group(g) != null) {
                        final GroupMachine m = s.group(g);
                        sb.append(" [")
                                .append(id)
                                .append(" role ")
                                .append(m.role())
                                .append(" epoch ")
                                .append(m.term())
                                .append(" hears ")
                                .append(m.leaderHeard())
                                .append(": ")
                                .append(m.why())
                                .append("; ")
                                .append(m.obstacle())
                                .append(']');
                    }
                }
                note(0, sb.toString(), false);
            }
        });
        wellness.watch();
        callers.operators.watch();
        at(now + 5, this::watch);
    }

    private void acts(final TreeMap<Integer, Integer> acting, final GroupMachine g, final SimulatedProcess p) {
        if (g.mayAct(p.mono())) {
            final Integer other = acting.put(g.id(), p.id);
            if (other != null) {
                history.violation(now, "nodes " + other + " and " + p.id + " both act as master of group " + g.id());
            }
        }
    }

    // ---- faults

    /** Where the next owner that gets there dies; null for nowhere. */
    CrashPoint armed;
    /** Says whether this one may die now, and sees to its return. */
    java.util.function.Predicate<SimulatedProcess> mayCrash = p -> false;

    boolean crashes(final SimulatedProcess p) {
        final CrashPoint point = armed;
        if (!mayCrash.test(p)) {
            return false;
        }
        armed = null;
        count("died right after " + point);
        note(p.id, "dies right after " + point, false);
        kill(p, random.nextBoolean());
        return true;
    }

    void kill(final SimulatedProcess p, final boolean powerLoss) {
        if (!p.alive) {
            return;
        }
        p.alive = false;
        p.life++;
        wellness.down(p);
        if (powerLoss && p.disk != null) {
            p.disk.powerLoss(random);
        }
        note(p.id, powerLoss ? "loses power" : "is killed", false);
        callers.gatewayGone(p);
        for (final SimulatedProcess other : processes.values()) {
            if (other.alive) {
                at(now + 1, () -> other.run(o -> o.node.sessionLost(p.id, o.time())));
            }
        }
    }

    void restart(final SimulatedProcess p) {
        if (!p.alive) {
            note(p.id, "starts", false);
            p.start();
        }
    }

    void freeze(final SimulatedProcess p, final long forMs) {
        if (p.alive && !p.frozen()) {
            note(p.id, "freezes for " + forMs, false);
            p.frozenUntil = now + forMs;
        }
    }
}
