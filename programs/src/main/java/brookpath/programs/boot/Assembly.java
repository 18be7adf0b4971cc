package brookpath.programs.boot;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Action;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.FrontNode;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.node.control.Founding;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.coordination.spec.SpecClient;
import brookpath.state.disk.DiskFullException;
import brookpath.state.disk.FolderDisk;
import brookpath.state.disk.MachineIdentity;
import brookpath.state.spool.Spool;
import brookpath.transport.identity.ProcessIdentity;
import brookpath.transport.identity.RandomNumbers;
import brookpath.transport.loop.Host;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * A process's state, disk and sessions with siblings put together; whatever serves callers or operators is added by the
 * program.
 */
public final class Assembly {
    /** What a process does. */
    public enum Role {
        FRONT,
        STORAGE,
        CONTROLLER
    }

    /**
     * @param info this process as others are told of it
     * @param founders the control group's members at its founding; for a controller alone
     * @param seeds controllers that may be asked, with the addresses where siblings reach them
     * @param found whether this controller founds the control group, on an empty folder
     * @param data the data folder; empty where the machine has no disk
     * @param rollBytes a new segment after so much
     * @param threads that carry traffic
     * @param bornAt when the process began, by its monotonic clock, in milliseconds
     */
    public record Plan(
            Role role,
            NodeInfo info,
            List<Member> founders,
            Map<Integer, String> seeds,
            Tempo tempo,
            Founding founding,
            boolean found,
            String data,
            long rollBytes,
            int threads,
            long bornAt) {}

    private final Node node;
    private final Host host;
    private final List<Action> first;

    private Assembly(final Node node, final Host host, final List<Action> first) {
        this.node = node;
        this.host = host;
        this.first = first;
    }

    /** Throws IllegalStateException where the folder forbids what the plan says. */
    public static Assembly of(final Plan plan, final Host.Poster poster) {
        final Time time = Host.time();
        final FolderDisk disk = plan.data.isEmpty() ? null : new FolderDisk(Path.of(plan.data));
        final NodeInfo info =
                plan.info.on(disk == null ? RandomNumbers.identity() : onceThereIsRoom(plan, () -> machine(disk)));
        final Spool.Recovery recovered = disk == null ? null : onceThereIsRoom(plan, () -> Spool.recover(disk));
        final List<byte[]> entries = recovered == null ? List.of() : recovered.replayed();
        if (recovered != null) {
            recovered.findings().forEach(f -> Logger.error("data folder: {}", f));
        }
        final Node node = node(plan, info);
        node.bornAt(plan.bornAt);
        entries.forEach(e -> node.replay(e, time));
        if (plan.found && !entries.isEmpty()) {
            throw new IllegalStateException(
                    "the data folder already holds a control log, and the control group is founded only once");
        }
        final List<Action> first = node instanceof ControllerNode b ? b.start(plan.found, time) : List.of();
        final SpecClient client =
                node instanceof FrontNode f ? f.client() : node instanceof StorageNode n ? n.client() : null;
        final Host host = new Host(
                node,
                new ProcessIdentity(info.node(), RandomNumbers.identity(), info.machine()),
                plan.tempo,
                recovered == null ? null : recovered.spool(),
                n -> addresses(plan, n),
                () -> client == null ? Long.MAX_VALUE : client.leaseUntil(),
                poster,
                plan.threads,
                () -> Runtime.getRuntime().halt(1));
        return new Assembly(node, host, first);
    }

    /** The identity of the machine that this runs on, kept on its disk. */
    private static long machine(final FolderDisk disk) {
        final MachineIdentity identity = MachineIdentity.of(disk, RandomNumbers.identity());
        if (identity.finding() != null) {
            Logger.error("data folder: {}", identity.finding());
        }
        return identity.number();
    }

    /** A folder that is full holds nothing yet, else it could be read; it is waited for, as any write would be. */
    private static <T> T onceThereIsRoom(final Plan plan, final Supplier<T> opening) {
        while (true) {
            try {
                return opening.get();
            } catch (final DiskFullException ex) {
                Logger.warn("data folder: no room to begin in; tried again");
                pause(plan.tempo.diskPause());
            }
        }
    }

    private static void pause(final long millis) {
        try {
            Thread.sleep(millis);
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted before the start", ex);
        }
    }

    private static Node node(final Plan plan, final NodeInfo me) {
        final List<Integer> seeds = List.copyOf(plan.seeds.keySet());
        // why: jobs of a former life must not be taken for this one's
        final long firstId = RandomNumbers.firstId();
        final long seed = System.nanoTime();
        return switch (plan.role) {
            case FRONT -> new FrontNode(me, seeds, plan.tempo, firstId);
            case STORAGE ->
                new StorageNode(me, seeds, plan.tempo, plan.founding.toleratedLosses(), seed, firstId, plan.rollBytes);
            case CONTROLLER ->
                new ControllerNode(me, plan.founders, seeds, plan.founding, plan.tempo, seed, firstId, plan.rollBytes);
        };
    }

    /** Whom the process keeps sessions with: the controllers, and from the roster the storage machines. */
    private static Map<Integer, String> addresses(final Plan plan, final Node node) {
        final Map<Integer, String> map = new LinkedHashMap<>(plan.seeds);
        if (node instanceof ControllerNode b) {
            map.putAll(b.addresses());
        } else {
            final Roster roster = node instanceof FrontNode f
                    ? f.client().roster()
                    : ((StorageNode) node).client().roster();
            roster.controllers().forEach(n -> map.put(n.node(), n.address()));
            roster.nodes().forEach(n -> map.put(n.node(), n.address()));
        }
        map.remove(plan.info.node());
        return map;
    }

    public Host host() {
        return host;
    }

    public Node node() {
        return node;
    }

    public void start() {
        host.start(first);
    }
}
