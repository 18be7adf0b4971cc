package brookpath.testing.sim;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.coordination.node.gateway.SessionOverflow;
import brookpath.testing.oracle.History;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** A whole fleet in virtual time. Each seed determines one history: a run with the same seed repeats it exactly. */
public final class SimulatedCluster {
    static final long WALL_CLOCK_START_MS = 1_700_000_000_000L;
    private static final long ROLL_BYTES = 64 << 10;
    private static final int MAX_NOTES = 4000;
    private static final int FOUNDING_CONTROLLERS = 3;
    private static final int FIRST_STORAGE = 11;
    private static final int FIRST_GATEWAY = 31;
    private static final List<String> ZONES = List.of("a", "b", "c", "d");

    private static final List<Integer> SEEDS = List.of(1, 2, 3);

    /** The only source of random numbers. The order in which they are drawn is part of a seed's history. */
    public final SplittableRandom random;
    /** Timing bounds of the data plane's processes. */
    public final TimingBounds timing;

    private final TimingBounds controlTiming;
    /** What callers observed, and the violations found. */
    public final History history = new History();
    /** All processes by node number, including those that are not running. */
    public final TreeMap<Integer, SimulatedProcess> processes = new TreeMap<>();
    /** The number of events of each kind. */
    public final TreeMap<String, Integer> counts = new TreeMap<>();
    /** The faults deliberately built into the simulation, which the oracles must find. */
    public final EnumSet<Mutation> mutations;

    /** The limit of storage nodes that start from now on. */
    long maxLogMemoryBytes = Long.MAX_VALUE;

    final SimulatedNetwork net = new SimulatedNetwork(this);
    final Callers callers;
    /** Receives the usage reports. */
    public final Platform platform;

    final FleetSize size;
    final int groups;
    final ExpectedOutages outages = new ExpectedOutages(this);
    /** Times from the first attempt of a publish to its acknowledgement, in milliseconds. */
    public final List<Long> publishLatencies = new ArrayList<>();

    final List<Integer> controllers = new ArrayList<>();
    final List<Integer> storages = new ArrayList<>();
    final List<Integer> gateways = new ArrayList<>();
    private final EventQueue events = new EventQueue(0);
    private final ArrayDeque<String> notes = new ArrayDeque<>();
    private final LeaderWatch leaders = new LeaderWatch(this);

    /** How many simultaneous machine losses the fleet is founded to tolerate. Must be set before the first run. */
    int toleratedLosses = 1;

    /** Observes the actions of all processes. Must be set before the first run. */
    ActionObserver observer = ActionObserver.NONE;

    /** Creates a cluster with the default timing bounds, whose processes start within its first 500 ms. */
    public SimulatedCluster(final long seed, final FleetSize size, final EnumSet<Mutation> mutations) {
        this(seed, size, mutations, TimingBounds.DEFAULT, TimingBounds.DEFAULT);
    }

    /** @param controlTiming timing bounds of the control plane's processes */
    SimulatedCluster(
            final long seed,
            final FleetSize size,
            final EnumSet<Mutation> mutations,
            final TimingBounds timing,
            final TimingBounds controlTiming) {
        this.timing = timing;
        this.controlTiming = controlTiming;
        random = new SplittableRandom(seed);
        this.mutations = mutations;
        this.size = size;
        groups = size.groups();
        platform = new Platform(this);
        callers = new Callers(this);
        for (int i = 0; i < FOUNDING_CONTROLLERS; i++) {
            addFoundingController(1 + i, ZONES.get(i));
        }
        for (int i = 0; i < ZONES.size(); i++) {
            createStorage(FIRST_STORAGE + i, ZONES.get(i));
        }
        for (int i = 0; i < size.gateways(); i++) {
            addGateway(FIRST_GATEWAY + i, ZONES.get(i % ZONES.size()));
        }
        processes.values().forEach(p -> at(random.nextInt(500), p::start));
        at(0, this::watch);
        at(1_000, platform::watch);
    }

    private void addFoundingController(final int id, final String zone) {
        controllers.add(id);
        final List<Member> founders = List.of(new Member(1, 50, ""), new Member(2, 50, ""), new Member(3, 50, ""));
        final SimulatedProcess added = new SimulatedProcess(this, id, zone, true, (process, entries) -> {
            final ControllerNode node = new ControllerNode(
                    process.id,
                    founders,
                    new GroupBootstrap(groups, 3, 4, toleratedLosses),
                    controlTiming,
                    random.nextLong(),
                    process.incarnation << 32,
                    ROLL_BYTES);
            entries.forEach(e -> node.replay(e, process.time()));
            return node;
        });
        added.foundOnStart = true;
        processes.put(id, added);
    }

    private void addGateway(final int id, final String zone) {
        gateways.add(id);
        processes.put(
                id,
                new SimulatedProcess(
                        this,
                        id,
                        zone,
                        false,
                        (process, entries) -> new GatewayNode(
                                process.info(), SEEDS, timing, SessionOverflow.NONE, process.incarnation << 32)));
    }

    /** Adds and starts an empty controller that is not a founder, as an operator would, with these seeds. */
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
                    process.incarnation << 32,
                    ROLL_BYTES);
            entries.forEach(e -> node.replay(e, process.time()));
            return node;
        });
        processes.put(id, added);
        added.start();
        return added;
    }

    private SimulatedProcess createStorage(final int id, final String zone) {
        storages.add(id);
        final SimulatedProcess added = new SimulatedProcess(this, id, zone, true, (process, entries) -> {
            final StorageNode node = new StorageNode(
                    process.info(),
                    SEEDS,
                    timing,
                    1,
                    random.nextLong(),
                    process.incarnation << 32,
                    ROLL_BYTES,
                    maxLogMemoryBytes);
            entries.forEach(e -> node.replay(e, process.time()));
            return node;
        });
        processes.put(id, added);
        return added;
    }

    /** Adds and starts an empty storage node under an unused node number. */
    SimulatedProcess addStorage(final int id, final String zone) {
        final SimulatedProcess added = createStorage(id, zone);
        note(id, "is added", false);
        outages.recordDown(added);
        added.start();
        return added;
    }

    /** Virtual time in milliseconds. */
    public long now() {
        return events.now();
    }

    /** The durations of all periods in which a group had no acting leader, in milliseconds. */
    public List<Long> leaderless() {
        return leaders.leaderlessMs();
    }

    /** The timing bounds of one process. */
    TimingBounds timingOf(final int id) {
        return controllers.contains(id) ? controlTiming : timing;
    }

    /** Schedules a task for a virtual time; one whose time has passed runs after the tasks that are due now. */
    public void at(final long time, final Runnable task) {
        events.schedule(time, task);
    }

    /** Runs all tasks due up to a virtual time, inclusive, and advances the time to it. */
    public void run(final long until) {
        events.runUntil(until);
    }

    /** Counts an event. */
    public void count(final String event) {
        counts.merge(event, 1, Integer::sum);
    }

    /** The number of events of a kind. */
    public int counted(final String event) {
        return counts.getOrDefault(event, 0);
    }

    void note(final int node, final String text, final boolean isError) {
        notes.add(now() + " node " + node + ": " + text);
        if (notes.size() > MAX_NOTES) {
            notes.poll();
        }
        if (text.contains("won term")) {
            count(node <= 3 ? "control elections" : "topic elections");
        }
        if (text.contains("diverged tail")) {
            count("diverged tails cut");
        }
        if (text.contains("full sync")) {
            count("full syncs");
        }
        if (isError) {
            history.violation(now(), "node " + node + ": " + text);
        }
    }

    /** The latest notes of all nodes, each with its virtual time in milliseconds and its node number. */
    public List<String> notes() {
        return List.copyOf(notes);
    }

    private void watch() {
        leaders.check();
        outages.watch();
        callers.operators.watch();
        at(now() + LeaderWatch.PERIOD_MS, this::watch);
    }

    // ---- faults

    /** The crash point at which the next leader that reaches it crashes; null for none. */
    CrashPoint armed;
    /** Decides whether a process may crash now, and schedules its restart if so. */
    java.util.function.Predicate<SimulatedProcess> mayCrash = p -> false;

    boolean crashIfAllowed(final SimulatedProcess p) {
        final CrashPoint point = armed;
        if (!mayCrash.test(p)) {
            return false;
        }
        armed = null;
        count("died right after " + point);
        note(p.id, "crashes right after " + point, false);
        kill(p, random.nextBoolean());
        return true;
    }

    void kill(final SimulatedProcess p, final boolean powerLoss) {
        if (!p.alive) {
            return;
        }
        p.alive = false;
        p.incarnation++;
        outages.recordDown(p);
        if (powerLoss && p.disk != null) {
            p.disk.powerLoss(random);
        }
        note(p.id, powerLoss ? "loses power" : "is killed", false);
        callers.resetConnections(p);
        for (final SimulatedProcess other : processes.values()) {
            if (other.alive) {
                at(now() + 1, () -> other.run(o -> o.node.connectionLost(p.id, o.time())));
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
            p.frozenUntil = now() + forMs;
        }
    }
}
