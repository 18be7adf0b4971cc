package brookpath.programs.boot;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.configuration.ClusterMetadata;
import brookpath.coordination.configuration.ClusterMetadata.NodeInfo;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.node.control.Founding;
import brookpath.state.disk.DiskFullException;
import brookpath.state.disk.FolderDisk;
import brookpath.state.disk.MachineIdentity;
import brookpath.state.wal.WriteAheadLog;
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
 * A process's state, disk and sessions with peers put together; whatever serves callers or operators is added by the
 * program.
 */
public final class ProcessAssembly {
    /** What a process does. */
    public enum Role {
        GATEWAY,
        STORAGE,
        CONTROLLER
    }

    /**
     * @param info this process as others are told of it
     * @param founders the control group's members at its founding; for a controller alone
     * @param seeds controllers that may be asked, with the addresses where peers reach them
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
            TimingBounds timing,
            Founding founding,
            boolean found,
            String data,
            long rollBytes,
            int threads,
            long bornAt) {}

    private final Node node;
    private final Host host;
    private final List<Action> first;

    private ProcessAssembly(final Node node, final Host host, final List<Action> first) {
        this.node = node;
        this.host = host;
        this.first = first;
    }

    /** Throws IllegalStateException where the folder forbids what the plan says. */
    public static ProcessAssembly of(final Plan plan, final Host.Poster poster) {
        final Time time = Host.time();
        final FolderDisk disk = plan.data.isEmpty() ? null : new FolderDisk(Path.of(plan.data));
        final NodeInfo info =
                plan.info.on(disk == null ? RandomNumbers.identity() : onceThereIsRoom(plan, () -> machine(disk)));
        final WriteAheadLog.Recovery recovered =
                disk == null ? null : onceThereIsRoom(plan, () -> WriteAheadLog.recover(disk));
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
        final ConfigurationClient client =
                node instanceof GatewayNode f ? f.client() : node instanceof StorageNode n ? n.client() : null;
        final Host host = new Host(
                node,
                new ProcessIdentity(info.node(), RandomNumbers.identity(), info.machine()),
                plan.timing,
                recovered == null ? null : recovered.writeAheadLog(),
                n -> addresses(plan, n),
                () -> client == null ? Long.MAX_VALUE : client.leaseUntil(),
                poster,
                plan.threads,
                () -> Runtime.getRuntime().halt(1));
        return new ProcessAssembly(node, host, first);
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
                pause(plan.timing.diskPause());
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
        // why: requests of a former life must not be taken for this one's
        final long firstId = RandomNumbers.firstId();
        final long seed = System.nanoTime();
        return switch (plan.role) {
            case GATEWAY -> new GatewayNode(me, seeds, plan.timing, firstId);
            case STORAGE ->
                new StorageNode(me, seeds, plan.timing, plan.founding.toleratedLosses(), seed, firstId, plan.rollBytes);
            case CONTROLLER ->
                new ControllerNode(me, plan.founders, seeds, plan.founding, plan.timing, seed, firstId, plan.rollBytes);
        };
    }

    /** Whom the process keeps sessions with: the controllers, and from the cluster metadata the storage machines. */
    private static Map<Integer, String> addresses(final Plan plan, final Node node) {
        final Map<Integer, String> map = new LinkedHashMap<>(plan.seeds);
        if (node instanceof ControllerNode b) {
            map.putAll(b.addresses());
        } else {
            final ClusterMetadata metadata = node instanceof GatewayNode f
                    ? f.client().metadata()
                    : ((StorageNode) node).client().metadata();
            metadata.controllers().forEach(n -> map.put(n.node(), n.address()));
            metadata.nodes().forEach(n -> map.put(n.node(), n.address()));
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
