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
    /** Makes the node of each incarnation; another kind of fleet sets its own before the first start. */
    BiFunction<SimulatedProcess, List<byte[]>, Node> maker;

    Node node;
    private final ProcessHeartbeats heartbeats;
    private final ProcessLog log;
    long incarnation;
    /** The machine's identity: what the disk keeps, or where there is none, another in each incarnation. */
    private long machine;
    /** What operators call the machine. */
    String name;

    boolean alive;
    /** Never to come back: the one disk machine that may be lost for good. */
    boolean goneForGood;

    long frozenUntil;
    long syncMs = 2;
    long skew;
    private long monoBase;
    boolean foundOnStart;
    /**
     * For measurements: what this process sent and got, and how long its decisions took on the machine that runs the
     * trial.
     */
    long sentMessages;

    long sentBytes;
    long gotBytes;
    long busyNanos;
    private final ArrayDeque<Function<SimulatedProcess, List<Action>>> backlog = new ArrayDeque<>();

    SimulatedProcess(
            final SimulatedCluster cluster,
            final int id,
            final String zone,
            final boolean hasDisk,
            final BiFunction<SimulatedProcess, List<byte[]>, Node> maker) {
        this.cluster = cluster;
        this.id = id;
        this.zone = zone;
        name = "machine-" + id;
        this.maker = maker;
        disk = hasDisk ? new FaultyDisk() : null;
        heartbeats = new ProcessHeartbeats(this);
        log = new ProcessLog(this);
    }

    /** The process as others are told of it. */
    NodeInfo info() {
        return new NodeInfo(id, zone, "sim:" + id, name, machine);
    }

    Time time() {
        return new Time(cluster.now() + monoBase, cluster.now() + skew + SimulatedCluster.WALL);
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

    /** Starts, or starts again, on whatever its disk still holds. */
    void start() {
        incarnation++;
        alive = true;
        frozenUntil = 0;
        monoBase = cluster.random.nextInt(1_000_000);
        log.reset();
        backlog.clear();
        heartbeats.reset();
        final List<byte[]> entries;
        machine = (long) id << 32 | incarnation;
        try {
            entries = disk == null ? List.of() : recover();
        } catch (final UncheckedIOException ex) {
            cluster.count("would not start");
            alive = false;
            return;
        }
        node = maker.apply(this, entries);
        heartbeats.start();
        if (node instanceof ControllerNode controller) {
            execute(controller.start(foundOnStart, time()));
            foundOnStart = false;
        }
        scheduleTick();
        log.scheduleScrub();
    }

    private List<byte[]> recover() {
        disk.failing(false);
        machine = MachineIdentity.loadOrCreate(disk, machine).number();
        return log.recover();
    }

    /** Runs a task later, unless this incarnation has ended by then. */
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
            run(p -> p.node.tick(p.time(), p.heartbeats.seen()));
            scheduleTick();
        });
    }

    /** One event, as the state thread would take it; a frozen process takes it when it wakes. */
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
        final long began = System.nanoTime();
        final List<Action> actions = event.apply(this);
        busyNanos += System.nanoTime() - began;
        if (cluster.armed == CrashPoint.ACCEPT
                && before > 0
                && CrashPoint.committed(node, cluster.groups) > before
                && cluster.crashes(this)) {
            return;
        }
        execute(actions);
        if (alive) {
            heartbeats.takeTableNowOrLate();
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

    /** Does what the node has decided, in its order; a crash point that is reached ends it. */
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
        } else if (action instanceof Action.Write || action instanceof Action.Roll) {
            log.add(action);
        } else if (action instanceof Action.Respond respond) {
            cluster.callers.respond(
                    this, respond.requestId(), respond.response().at(mono()));
        } else if (action instanceof Action.DeliverLine deliver) {
            cluster.callers.deliver(this, deliver.sessionId(), deliver.line());
        } else if (action instanceof Action.Post post) {
            cluster.platform.post(this, post);
        } else if (action instanceof Action.CloseSession close) {
            cluster.callers.closed(this, close.sessionId(), close.reason());
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
                        && CrashPoint.owns(node, cluster.groups)
                : CrashPoint.ofAction(action) == cluster.armed;
        return reached && cluster.crashes(this);
    }
}
