package brookpath.trial.sim;

import brookpath.coordination.group.Member;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.FrontNode;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.node.control.Founding;
import brookpath.coordination.spec.Roster.NodeInfo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The processes of a control day: a world's fleet with a fourth controller, settings as the users' machines get them,
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

    private final World world;
    private final Map<Integer, String> names = new HashMap<>();
    private final Map<Integer, Long> startedAt = new HashMap<>();
    /** The controllers that a settings file names which is written now. */
    private List<Integer> seeds;

    private int nextController = FIRST_NEW_CONTROLLER;
    private int nextStorage = FIRST_NEW_STORAGE;
    private int machines;

    /** Takes over a world none of whose processes has started yet. */
    ControlFleet(final World world) {
        this.world = world;
        seeds = List.copyOf(world.controllers);
        for (final int id : world.controllers) {
            world.procs.get(id).maker = this::controllerNode;
        }
        for (final int id : world.storages) {
            names.put(id, nextName());
            world.procs.get(id).maker = this::storageNode;
        }
        for (final int id : world.fronts) {
            world.procs.get(id).maker = this::frontNode;
        }
        addController("d").start();
    }

    private String nextName() {
        return "machine-" + ++machines;
    }

    private Node controllerNode(final Proc proc, final List<byte[]> entries) {
        startedAt.put(proc.id, world.now());
        // why: only the settings of the very first start name founders, as on the users' machines
        final boolean first = proc.foundOnStart;
        final List<Member> founders =
                first ? seeds.stream().map(id -> new Member(id, WEIGHT, "")).toList() : List.of();
        final ControllerNode node = new ControllerNode(
                info(proc, ""),
                founders,
                seeds,
                new Founding(world.groups, COPIES, STORAGES, TOLERATED_LOSSES),
                world.tempo,
                world.rnd.nextLong(),
                firstId(),
                ROLL_BYTES);
        entries.forEach(entry -> node.replay(entry, proc.time()));
        return node;
    }

    private Node storageNode(final Proc proc, final List<byte[]> entries) {
        final StorageNode node = new StorageNode(
                info(proc, name(proc.id)),
                seeds,
                world.tempo,
                TOLERATED_LOSSES,
                world.rnd.nextLong(),
                firstId(),
                ROLL_BYTES);
        entries.forEach(entry -> node.replay(entry, proc.time()));
        return node;
    }

    private Node frontNode(final Proc proc, final List<byte[]> entries) {
        return new FrontNode(info(proc, ""), seeds, world.tempo, firstId());
    }

    private static NodeInfo info(final Proc proc, final String name) {
        final NodeInfo info = proc.info();
        return new NodeInfo(info.node(), info.zone(), info.address(), name, info.machine());
    }

    /** Where the IDs of a life begin: drawn, as the product's own programs do. */
    private long firstId() {
        return world.rnd.nextLong() >>> 2;
    }

    /** When a controller started last. */
    long startedAt(final Proc controller) {
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
        seeds(world.controllers.subList(0, SEEDS));
    }

    /** An empty controller at a number that nobody had; it does not run yet. */
    Proc addController(final String zone) {
        final Proc added = new Proc(world, nextController++, zone, true, this::controllerNode);
        world.procs.put(added.id, added);
        world.controllers.add(added.id);
        world.wellness.down(added);
        return added;
    }

    /** An empty storage machine at a number that nobody had; it does not run yet. */
    Proc addStorage(final String zone) {
        final Proc added = new Proc(world, nextStorage++, zone, true, this::storageNode);
        names.put(added.id, nextName());
        world.procs.put(added.id, added);
        world.storages.add(added.id);
        world.wellness.down(added);
        return added;
    }

    /** A machine is gone for good, with its disk. */
    void remove(final Proc gone) {
        gone.goneForGood = true;
        world.kill(gone, true);
        gone.disk.wipe();
        world.controllers.remove((Integer) gone.id);
        world.storages.remove((Integer) gone.id);
    }

    /** From the next start on there is another, empty machine at this number. */
    void reuseAddress(final Proc gone) {
        world.kill(gone, true);
        gone.disk.wipe();
        if (names.containsKey(gone.id)) {
            names.put(gone.id, nextName());
        }
    }

    boolean isController(final Proc proc) {
        return world.controllers.contains(proc.id);
    }

    List<Proc> controllers() {
        return world.controllers.stream().map(world.procs::get).toList();
    }

    List<Proc> storages() {
        return world.storages.stream().map(world.procs::get).toList();
    }

    /** The machines with disks, whose loss counts. */
    List<Proc> counted() {
        final List<Proc> all = new ArrayList<>(controllers());
        all.addAll(storages());
        return all;
    }

    /** The controller that may act as the control group's master, null for none. */
    Proc controlMaster() {
        for (final Proc proc : controllers()) {
            if (proc.alive
                    && !proc.frozen()
                    && proc.node() instanceof ControllerNode node
                    && node.group().mayAct(proc.mono())) {
                return proc;
            }
        }
        return null;
    }
}
