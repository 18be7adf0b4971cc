package brookpath.programs.boot;

import brookpath.coordination.action.Action;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.StorageNode;
import brookpath.transport.identity.ProcessIdentity;
import brookpath.transport.identity.RandomNumbers;
import brookpath.transport.loop.Host;
import brookpath.transport.loop.SystemClock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The parts of a process that all programs have: its node, its data folder and its sessions with peers. The interfaces
 * for callers and operators are added by the program.
 */
public final class ProcessAssembly {
    private static final int EXIT_CODE_FATAL_ERROR = 1;
    /**
     * The part of a storage node's heap that its logs may take. A full sync of the largest group holds the new log
     * beside the former one; the rest is for the derived state, connections and garbage.
     */
    private static final double LOG_MEMORY_PART = 0.375;

    private final Host host;
    private final List<Action> firstActions;

    private ProcessAssembly(final Host host, final List<Action> firstActions) {
        this.host = host;
        this.firstActions = firstActions;
    }

    /**
     * Opens the data folder, replays its log and prepares the process, which runs once {@link #start} is called.
     *
     * @param poster posts the usage reports
     * @throws ProcessStartException if the plan founds the control group, but the data folder already holds a control
     *     log
     */
    public static ProcessAssembly of(final ProcessPlan plan, final Host.Poster poster) {
        final Time now = SystemClock.now();
        final DataFolder dataFolder = DataFolder.open(plan);
        final NodeInfo self = plan.self().withMachine(dataFolder.machineIdentity());
        final Node node = createNode(plan, self);
        node.startedAt(plan.startedAtMs());
        dataFolder.entries().forEach(entry -> node.replay(entry, now));
        if (plan.foundsControlGroup() && !dataFolder.entries().isEmpty()) {
            throw new ProcessStartException(
                    "the data folder already holds a control log; a control group is founded only once");
        }
        final List<Action> firstActions = node instanceof ControllerNode controller
                ? controller.start(plan.foundsControlGroup(), now)
                : List.of();
        final Host host = new Host(
                node,
                new ProcessIdentity(self.node(), RandomNumbers.identity(), self.machine()),
                plan.timing(),
                dataFolder.log(),
                current -> peerAddresses(plan, current),
                configurationLeaseEnd(node),
                poster,
                plan.trafficThreads(),
                () -> Runtime.getRuntime().halt(EXIT_CODE_FATAL_ERROR));
        return new ProcessAssembly(host, firstActions);
    }

    private static Node createNode(final ProcessPlan plan, final NodeInfo self) {
        final List<Integer> seeds = List.copyOf(plan.seeds().keySet());
        // Requests of an earlier incarnation must not be confused with those of this one.
        final long firstRequestId = RandomNumbers.firstId();
        final long randomSeed = System.nanoTime();
        return switch (plan.role()) {
            case GATEWAY -> new GatewayNode(self, seeds, plan.timing(), plan.sessionOverflow(), firstRequestId);
            case STORAGE ->
                new StorageNode(
                        self,
                        seeds,
                        plan.timing(),
                        plan.founding().toleratedLosses(),
                        randomSeed,
                        firstRequestId,
                        plan.segmentBytes(),
                        maxLogMemoryBytes());
            case CONTROLLER ->
                new ControllerNode(
                        self,
                        plan.founders(),
                        seeds,
                        plan.founding(),
                        plan.timing(),
                        randomSeed,
                        firstRequestId,
                        plan.segmentBytes());
        };
    }

    /** How much memory the logs of a storage node may take. */
    private static long maxLogMemoryBytes() {
        return (long) (Runtime.getRuntime().maxMemory() * LOG_MEMORY_PART);
    }

    /** When the configuration lease of the process ends, in milliseconds of the monotonic clock. */
    private static LongSupplier configurationLeaseEnd(final Node node) {
        final ConfigurationClient client = configurationClient(node);
        return client == null ? () -> Long.MAX_VALUE : client::leaseUntil;
    }

    /** The client of the configuration; null for a controller, which holds the configuration itself. */
    private static ConfigurationClient configurationClient(final Node node) {
        if (node instanceof GatewayNode gateway) {
            return gateway.client();
        }
        return node instanceof StorageNode storage ? storage.client() : null;
    }

    /** The addresses of the peers to keep sessions with: the controllers, and the nodes of the cluster metadata. */
    private static Map<Integer, String> peerAddresses(final ProcessPlan plan, final Node node) {
        final Map<Integer, String> addresses = new LinkedHashMap<>(plan.seeds());
        if (node instanceof ControllerNode controller) {
            addresses.putAll(controller.addresses());
        } else {
            final ClusterMetadata metadata = configurationClient(node).metadata();
            metadata.controllers().forEach(peer -> addresses.put(peer.node(), peer.address()));
            metadata.nodes().forEach(peer -> addresses.put(peer.node(), peer.address()));
        }
        addresses.remove(plan.self().node());
        return addresses;
    }

    /** The host that runs the node. */
    public Host host() {
        return host;
    }

    /** Starts the threads of the process. */
    public void start() {
        host.start(firstActions);
    }
}
