package brookpath.testing.sim;

import brookpath.coordination.action.Action;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.NodeRequest;
import brookpath.state.disk.MachineIdentity;
import brookpath.testing.disk.FaultyDisk;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * One process of the simulated fleet: the production node, its heartbeats, and its write-ahead log on a disk that can
 * fail.
 */
public final class SimulatedProcess {
    final SimulatedCluster cluster;
    final int id;
    final FaultyDisk disk;
    final String zone;
    /** Creates the node of each incarnation. Other kinds of fleets replace it before the first start. */
    BiFunction<SimulatedProcess, Collection<byte[]>, Node> nodeFactory;

    Node node;
    private final ProcessHeartbeats heartbeats;
    private final ProcessLog log;
    long incarnation;
    /** The machine's identity: the one stored on the disk, or without a disk another one in each incarnation. */
    private long machine;
    /** The name by which operators address the machine. */
    String name;

    boolean alive;
    /** Whether this machine is permanently lost and must not be restarted. */
    boolean goneForGood;

    long frozenUntil;
    long syncMs = 2;
    long skew;
    private long monoBase;
    boolean foundOnStart;
    /**
     * For measurements: the traffic of this process, and the real time that its node spent on handling events on the
     * machine that runs the simulation.
     */
    long sentMessages;

    long sentBytes;
    long receivedBytes;
    long busyNanos;
    private final ArrayDeque<Function<SimulatedProcess, List<Action>>> backlog = new ArrayDeque<>();

    SimulatedProcess(
            final SimulatedCluster cluster,
            final int id,
            final String zone,
            final boolean hasDisk,
            final BiFunction<SimulatedProcess, Collection<byte[]>, Node> nodeFactory) {
        this.cluster = cluster;
        this.id = id;
        this.zone = zone;
        name = "machine-" + id;
        this.nodeFactory = nodeFactory;
        disk = hasDisk ? new FaultyDisk() : null;
        heartbeats = new ProcessHeartbeats(this);
        log = new ProcessLog(this);
    }

    /** The information that other processes get about this one. */
    NodeInfo info() {
        return new NodeInfo(id, zone, "sim:" + id, name, machine);
    }

    Time time() {
        return new Time(cluster.now() + monoBase, cluster.now() + skew + SimulatedCluster.WALL_CLOCK_START_MS);
    }

    long mono() {
        return cluster.now() + monoBase;
    }

    /** The node of the current or last incarnation; null before the first start. */
    public Node node() {
        return node;
    }

    boolean frozen() {
        return cluster.now() < frozenUntil;
    }

    /** Starts or restarts the process with what its disk still holds. */
    void start() {
        incarnation++;
        alive = true;
        frozenUntil = 0;
        monoBase = cluster.random.nextInt(1_000_000);
        log.reset();
        backlog.clear();
        heartbeats.reset();
        final Collection<byte[]> entries;
        machine = (long) id << 32 | incarnation;
        try {
            entries = disk == null ? List.of() : recover();
        } catch (final UncheckedIOException ex) {
            cluster.count("failed starts");
            alive = false;
            return;
        }
        node = nodeFactory.apply(this, entries);
        heartbeats.start();
        if (node instanceof ControllerNode controller) {
            execute(controller.start(foundOnStart, time()));
            foundOnStart = false;
        }
        scheduleTick();
        log.scheduleScrub();
    }

    private Collection<byte[]> recover() {
        disk.failing(false);
        machine = MachineIdentity.loadOrCreate(disk, machine).number();
        return log.recover();
    }

    /** Runs a task after a delay, unless this incarnation has ended by then. */
    void after(final long delayMs, final Runnable task) {
        final long scheduledBy = incarnation;
        cluster.at(cluster.now() + delayMs, () -> {
            if (alive && incarnation == scheduledBy) {
                task.run();
            }
        });
    }

    private void scheduleTick() {
        after(cluster.timingOf(id).tick(), () -> {
            if (frozen()) {
                after(frozenUntil - cluster.now(), this::scheduleTick);
                return;
            }
            run(p -> p.node.tick(p.time(), p.heartbeats.lastTable()));
            scheduleTick();
        });
    }

    /** Handles one event as on the state thread. A frozen process handles it once it thaws. */
    void run(final Function<SimulatedProcess, List<Action>> event) {
        if (!alive) {
            return;
        }
        if (frozen()) {
            backlog.add(event);
            if (backlog.size() == 1) {
                after(frozenUntil - cluster.now(), this::thaw);
            }
            return;
        }
        heartbeats.tick();
        final long before = cluster.armed == CrashPoint.ACCEPT ? CrashPoint.committed(node, cluster.groups) : 0;
        final long startNanos = System.nanoTime();
        final List<Action> actions = event.apply(this);
        busyNanos += System.nanoTime() - startNanos;
        if (cluster.armed == CrashPoint.ACCEPT
                && before > 0
                && CrashPoint.committed(node, cluster.groups) > before
                && cluster.crashIfAllowed(this)) {
            return;
        }
        execute(actions);
        if (alive) {
            heartbeats.takeTableNowOrLater();
        }
    }

    private void thaw() {
        if (!frozen()) {
            for (int n = backlog.size(); n > 0; n--) {
                run(backlog.poll());
            }
        }
    }

    void message(final int from, final PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            run(p -> {
                p.heartbeats.onHeartbeat(from, heartbeat);
                return List.of();
            });
        } else {
            run(p -> p.node.message(from, message, p.time()));
        }
    }

    void request(final NodeRequest request) {
        run(p -> p.node.request(request, p.time()));
    }

    /** Executes the node's actions in order, up to a crash point if one is reached. */
    void execute(final List<Action> actions) {
        boolean heartbeatNow = false;
        for (final Action action : actions) {
            if (!alive) {
                return;
            }
            cluster.observer.observe(cluster.now(), id, action);
            execute(action);
            heartbeatNow |= action instanceof Action.HeartbeatNow;
            if (crashesAfter(action)) {
                return;
            }
        }
        heartbeats.updatePeers();
        if (heartbeatNow) {
            heartbeats.requestHeartbeat();
        }
        log.writePending();
    }

    private void execute(final Action action) {
        if (action instanceof Action.Send send) {
            send(send);
        } else if (action instanceof Action.ToDisk write) {
            log.add(write);
        } else if (action instanceof Action.Respond respond) {
            cluster.callers.respond(
                    this, respond.requestId(), respond.response().at(mono()));
        } else if (action instanceof Action.DeliverLine deliver) {
            cluster.callers.deliver(this, deliver.sessionId(), deliver.line());
        } else if (action instanceof Action.Post post) {
            cluster.platform.post(this, post);
        } else if (action instanceof Action.CloseSession close) {
            cluster.callers.closed(this, close.sessionId(), close.reason());
        } else if (action instanceof Action.NotifyFlushed notify) {
            cluster.callers.notifyFlushed(this, notify.sessionId());
        } else if (action instanceof Action.ToSession toSession) {
            cluster.callers.sessionActions.add(toSession);
        } else if (action instanceof Action.Note note) {
            cluster.note(id, note.text(), note.isError());
        }
    }

    private void send(final Action.Send send) {
        if (!cluster.net.send(this, send.node(), send.message())) {
            after(0, () -> run(p -> p.node.unsent(send.node(), send.message(), p.time())));
        }
    }

    private boolean crashesAfter(final Action action) {
        if (cluster.armed == null) {
            return false;
        }
        final boolean reached = action instanceof Action.Write write
                ? cluster.armed == CrashPoint.APPEND
                        && CrashPoint.ofWrite(write.entry()) == CrashPoint.SYNC
                        && CrashPoint.leads(node, cluster.groups)
                : CrashPoint.ofAction(action) == cluster.armed;
        return reached && cluster.crashIfAllowed(this);
    }
}
