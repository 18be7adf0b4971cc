package brookpath.testing.sim;

import brookpath.coordination.group.Member;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.coordination.node.gateway.SessionOverflow;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The processes of a control day: a cluster's fleet with a fourth controller, settings as the users' machines get them,
 * and machines that are replaced by empty ones, at another number or at one that was used before.
 */
final class ControlFleet {
    /** How many controllers a settings file names: at the first start, the founders. */
    static final int SEEDS = 3;

    private static final int WEIGHT = 50;
    private static final int COPIES = 3;
    private static final int STORAGES = 4;
    private static final int TOLERATED_LOSSES = 1;
    private static final long ROLL_BYTES = 64 << 10;

    private static final int FIRST_NEW_STORAGE = 101;
    private static final int FIRST_NEW_CONTROLLER = 201;

    private final SimulatedCluster cluster;
    private final Map<Integer, String> names = new HashMap<>();
    private final Map<Integer, Long> startedAt = new HashMap<>();
    /** The controllers that a settings file names which is written now. */
    private List<Integer> seeds;

    private int nextController = FIRST_NEW_CONTROLLER;
    private int nextStorage = FIRST_NEW_STORAGE;
    private int machines;

    /** Takes over a cluster none of whose processes has started yet. */
    ControlFleet(final SimulatedCluster cluster) {
        this.cluster = cluster;
        seeds = List.copyOf(cluster.controllers);
        for (final int id : cluster.controllers) {
            cluster.processes.get(id).maker = this::controllerNode;
        }
        for (final int id : cluster.storages) {
            names.put(id, nextName());
            cluster.processes.get(id).maker = this::storageNode;
        }
        for (final int id : cluster.gateways) {
            cluster.processes.get(id).maker = this::gatewayNode;
        }
        addController("d").start();
    }

    private String nextName() {
        return "machine-" + ++machines;
    }

    private Node controllerNode(final SimulatedProcess process, final List<byte[]> entries) {
        startedAt.put(process.id, cluster.now());
        // why: only the settings of the very first start name founders, as on the users' machines
        final boolean first = process.foundOnStart;
        final List<Member> founders =
                first ? seeds.stream().map(id -> new Member(id, WEIGHT, "")).toList() : List.of();
        final ControllerNode node = new ControllerNode(
                info(process, ""),
                founders,
                seeds,
                new GroupBootstrap(cluster.groups, COPIES, STORAGES, TOLERATED_LOSSES),
                cluster.timing,
                cluster.random.nextLong(),
                firstId(),
                ROLL_BYTES);
        entries.forEach(entry -> node.replay(entry, process.time()));
        return node;
    }

    private Node storageNode(final SimulatedProcess process, final List<byte[]> entries) {
        final StorageNode node = new StorageNode(
                info(process, name(process.id)),
                seeds,
                cluster.timing,
                TOLERATED_LOSSES,
                cluster.random.nextLong(),
                firstId(),
                ROLL_BYTES);
        entries.forEach(entry -> node.replay(entry, process.time()));
        return node;
    }

    private Node gatewayNode(final SimulatedProcess process, final List<byte[]> entries) {
        return new GatewayNode(info(process, ""), seeds, cluster.timing, SessionOverflow.NONE, firstId());
    }

    private static NodeInfo info(final SimulatedProcess process, final String name) {
        final NodeInfo info = process.info();
        return new NodeInfo(info.node(), info.zone(), info.address(), name, info.machine());
    }

    /** Where the IDs of an incarnation begin: drawn, as the product's own programs do. */
    private long firstId() {
        return cluster.random.nextLong() >>> 2;
    }

    /** When a controller started last. */
    long startedAt(final SimulatedProcess controller) {
        return startedAt.get(controller.id);
    }

    /** What operators call a storage machine. */
    String name(final int storage) {
        return names.get(storage);
    }

    /** Writes the settings of those that start from now on. */
    void seeds(final List<Integer> next) {
        seeds = List.copyOf(next);
    }

    /** The seeds that name the present controllers. */
    void freshSeeds() {
        seeds(cluster.controllers.subList(0, SEEDS));
    }

    /** An empty controller at a number that nobody had; it does not run yet. */
    SimulatedProcess addController(final String zone) {
        final SimulatedProcess added =
                new SimulatedProcess(cluster, nextController++, zone, true, this::controllerNode);
        cluster.processes.put(added.id, added);
        cluster.controllers.add(added.id);
        cluster.outages.recordDown(added);
        return added;
    }

    /** An empty storage machine at a number that nobody had; it does not run yet. */
    SimulatedProcess addStorage(final String zone) {
        final SimulatedProcess added = new SimulatedProcess(cluster, nextStorage++, zone, true, this::storageNode);
        names.put(added.id, nextName());
        cluster.processes.put(added.id, added);
        cluster.storages.add(added.id);
        cluster.outages.recordDown(added);
        return added;
    }

    /** A machine is gone for good, with its disk. */
    void remove(final SimulatedProcess gone) {
        gone.goneForGood = true;
        cluster.kill(gone, true);
        gone.disk.wipe();
        cluster.controllers.remove((Integer) gone.id);
        cluster.storages.remove((Integer) gone.id);
    }

    /** From the next start on there is another, empty machine at this number. */
    void reuseAddress(final SimulatedProcess gone) {
        cluster.kill(gone, true);
        gone.disk.wipe();
        if (names.containsKey(gone.id)) {
            names.put(gone.id, nextName());
        }
    }

    boolean isController(final SimulatedProcess process) {
        return cluster.controllers.contains(process.id);
    }

    List<SimulatedProcess> controllers() {
        return cluster.controllers.stream().map(cluster.processes::get).toList();
    }

    List<SimulatedProcess> storages() {
        return cluster.storages.stream().map(cluster.processes::get).toList();
    }

    /** The machines with disks, whose loss counts. */
    List<SimulatedProcess> counted() {
        final List<SimulatedProcess> all = new ArrayList<>(controllers());
        all.addAll(storages());
        return all;
    }

    /** The controller that may act as the control group's leader, null for none. */
    SimulatedProcess controlLeader() {
        for (final SimulatedProcess process : controllers()) {
            if (process.alive
                    && !process.frozen()
                    && process.node() instanceof ControllerNode node
                    && node.group().mayAct(process.mono())) {
                return process;
            }
        }
        return null;
    }
}
