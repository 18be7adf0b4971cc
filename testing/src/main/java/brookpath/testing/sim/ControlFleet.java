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
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The processes of a control day: a cluster's fleet with a fourth controller and with settings as in production, whose
 * machines can be replaced by empty ones, under a new node number or under one that was used before.
 */
final class ControlFleet {
    /** How many controllers a settings file names. At the first start these are the founders. */
    static final int SEEDS = 3;

    private static final int WEIGHT = 50;
    private static final int REPLICAS = 3;
    private static final int STORAGES = 4;
    private static final int TOLERATED_LOSSES = 1;
    private static final long ROLL_BYTES = 64 << 10;

    private static final int FIRST_ADDED_STORAGE = 101;
    private static final int FIRST_ADDED_CONTROLLER = 201;

    private final SimulatedCluster cluster;
    private final Map<Integer, String> names = new HashMap<>();
    private final Map<Integer, Long> startedAt = new HashMap<>();
    /** The controllers that processes are given as seeds when they start. */
    private List<Integer> seeds;

    private int nextController = FIRST_ADDED_CONTROLLER;
    private int nextStorage = FIRST_ADDED_STORAGE;
    private int machines;

    /** Configures a cluster none of whose processes has started yet. */
    ControlFleet(final SimulatedCluster cluster) {
        this.cluster = cluster;
        seeds = List.copyOf(cluster.controllers);
        for (final int id : cluster.controllers) {
            cluster.processes.get(id).nodeFactory = this::controllerNode;
        }
        for (final int id : cluster.storages) {
            names.put(id, nextName());
            cluster.processes.get(id).nodeFactory = this::storageNode;
        }
        for (final int id : cluster.gateways) {
            cluster.processes.get(id).nodeFactory = this::gatewayNode;
        }
        addController("d").start();
    }

    private String nextName() {
        return "machine-" + ++machines;
    }

    private Node controllerNode(final SimulatedProcess process, final Collection<byte[]> entries) {
        startedAt.put(process.id, cluster.now());
        // As in production, only the settings of the very first start name founders.
        final boolean first = process.foundOnStart;
        final List<Member> founders =
                first ? seeds.stream().map(id -> new Member(id, WEIGHT, "")).toList() : List.of();
        final ControllerNode node = new ControllerNode(
                info(process, ""),
                founders,
                seeds,
                new GroupBootstrap(cluster.groups, REPLICAS, STORAGES, TOLERATED_LOSSES),
                cluster.timing,
                cluster.random.nextLong(),
                firstId(),
                ROLL_BYTES);
        entries.forEach(entry -> node.replay(entry, process.time()));
        return node;
    }

    private Node storageNode(final SimulatedProcess process, final Collection<byte[]> entries) {
        final StorageNode node = new StorageNode(
                info(process, name(process.id)),
                seeds,
                cluster.timing,
                TOLERATED_LOSSES,
                cluster.random.nextLong(),
                firstId(),
                ROLL_BYTES,
                Long.MAX_VALUE);
        entries.forEach(entry -> node.replay(entry, process.time()));
        return node;
    }

    private Node gatewayNode(final SimulatedProcess process, final Collection<byte[]> entries) {
        return new GatewayNode(info(process, ""), seeds, cluster.timing, SessionOverflow.NONE, firstId());
    }

    private static NodeInfo info(final SimulatedProcess process, final String name) {
        final NodeInfo info = process.info();
        return new NodeInfo(info.node(), info.zone(), info.address(), name, info.machine());
    }

    /** The first ID that an incarnation assigns. It is random, as in the production programs. */
    private long firstId() {
        return cluster.random.nextLong() >>> 2;
    }

    /** The virtual time of a controller's last start. */
    long startedAt(final SimulatedProcess controller) {
        return startedAt.get(controller.id);
    }

    /** The name by which operators address a storage node. */
    String name(final int storage) {
        return names.get(storage);
    }

    /** Sets the seeds of the processes that start from now on. */
    void seeds(final List<Integer> next) {
        seeds = List.copyOf(next);
    }

    /** Sets the seeds to current controllers. */
    void seedCurrentControllers() {
        seeds(cluster.controllers.subList(0, SEEDS));
    }

    /** Adds an empty controller under an unused node number, without starting it. */
    SimulatedProcess addController(final String zone) {
        final SimulatedProcess added =
                new SimulatedProcess(cluster, nextController++, zone, true, this::controllerNode);
        cluster.processes.put(added.id, added);
        cluster.controllers.add(added.id);
        cluster.outages.recordDown(added);
        return added;
    }

    /** Adds an empty storage node under an unused node number, without starting it. */
    SimulatedProcess addStorage(final String zone) {
        final SimulatedProcess added = new SimulatedProcess(cluster, nextStorage++, zone, true, this::storageNode);
        names.put(added.id, nextName());
        cluster.processes.put(added.id, added);
        cluster.storages.add(added.id);
        cluster.outages.recordDown(added);
        return added;
    }

    /** Removes a machine permanently, together with its disk. */
    void remove(final SimulatedProcess lost) {
        lost.goneForGood = true;
        cluster.kill(lost, true);
        lost.disk.wipe();
        cluster.controllers.remove((Integer) lost.id);
        cluster.storages.remove((Integer) lost.id);
    }

    /** Replaces a machine by an empty one that has the same node number from the next start on. */
    void reuseAddress(final SimulatedProcess replaced) {
        cluster.kill(replaced, true);
        replaced.disk.wipe();
        if (names.containsKey(replaced.id)) {
            names.put(replaced.id, nextName());
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

    /** The machines with disks. Only their outages count towards the tolerated losses. */
    List<SimulatedProcess> counted() {
        final List<SimulatedProcess> all = new ArrayList<>(controllers());
        all.addAll(storages());
        return all;
    }

    /** The controller that may act as the leader of the control group; null for none. */
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
