package brookpath.testing.sim;

import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.heartbeat.StatusHandoff;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.NodeRequest;
import brookpath.state.disk.MachineIdentity;
import brookpath.state.wal.WriteAheadLog;
import brookpath.testing.disk.FaultyDisk;
import brookpath.transport.loop.DiskWriter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * One process of the simulated fleet: the production node, its heartbeats, and its write-ahead log on a disk that can
 * fail.
 */
public final class SimulatedProcess {
    final SimulatedCluster world;
    final int id;
    final FaultyDisk disk;
    final String zone;
    /** Makes the node of each life; a fleet of another shape sets its own before the first start. */
    BiFunction<SimulatedProcess, List<byte[]>, Node> maker;

    Node node;
    private HeartbeatMonitor heartbeats;
    private final Actions heartbeatOut = new Actions();
    private HeartbeatTable seen = HeartbeatTable.EMPTY;
    private boolean tableLags;
    private boolean entriesLag;
    private final StatusHandoff handoff = new StatusHandoff();
    private Set<Integer> peers = Set.of();
    private WriteAheadLog writeAheadLog;
    private DiskWriter writer;
    private List<Action> pending = new ArrayList<>();
    private boolean diskBusy;
    long life;
    /** The machine's identity: what the disk keeps, or where there is none, another in each life. */
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
            final SimulatedCluster world,
            final int id,
            final String zone,
            final boolean hasDisk,
            final BiFunction<SimulatedProcess, List<byte[]>, Node> maker) {
        this.world = world;
        this.id = id;
        this.zone = zone;
        name = "machine-" + id;
        this.maker = maker;
        disk = hasDisk ? new FaultyDisk() : null;
    }

    /** The process as others are told of it. */
    NodeInfo info() {
        return new NodeInfo(id, zone, "sim:" + id, name, machine);
    }

    Time time() {
        return new Time(world.now() + monoBase, world.now() + skew + SimulatedCluster.WALL);
    }

    long mono() {
        return world.now() + monoBase;
    }

    public Node node() {
        return node;
    }

    boolean frozen() {
        return world.now() < frozenUntil;
    }

    /** Starts, or starts again, on whatever its disk still holds. */
    void start() {
        life++;
        alive = true;
        frozenUntil = 0;
        monoBase = world.random.nextInt(1_000_000);
        pending = new ArrayList<>();
        diskBusy = false;
        backlog.clear();
        seen = HeartbeatTable.EMPTY;
        peers = Set.of();
        tableLags = false;
        entriesLag = false;
        handoff.takeWish();
        heartbeatOut.drain();
        final List<byte[]> entries = new ArrayList<>();
        machine = (long) id << 32 | life;
        if (disk != null) {
            disk.failing(false);
            final WriteAheadLog.Recovery logRecord;
            try {
                machine = MachineIdentity.of(disk, machine).number();
                logRecord = WriteAheadLog.recover(disk);
            } catch (final java.io.UncheckedIOException ex) {
                world.count("would not start");
                alive = false;
                return;
            }
            writeAheadLog = logRecord.writeAheadLog();
            writer = new DiskWriter(writeAheadLog);
            entries.addAll(logRecord.replayed());
            world.count(logRecord.damaged() ? "damaged folders" : "recoveries");
        }
        node = maker.apply(this, entries);
        heartbeats = new HeartbeatMonitor(world.timingOf(id), node.heartbeatPeriod(), node.promises());
        if (node instanceof ControllerNode b) {
            obey(b.start(foundOnStart, time()));
            foundOnStart = false;
        }
        timer(life);
        scrub(life);
    }

    private void scrub(final long ofLife) {
        if (disk != null) {
            world.at(world.now() + 10_000, () -> {
                if (alive && life == ofLife) {
                    if (!frozen() && !diskBusy && !writeAheadLog.isIntact()) {
                        world.count("damage found by the sweep of the disk");
                        run(p -> p.node.damaged(p.time()));
                    }
                    scrub(ofLife);
                }
            });
        }
    }

    private void timer(final long ofLife) {
        world.at(world.now() + world.timingOf(id).tick(), () -> {
            if (alive && life == ofLife) {
                if (frozen()) {
                    world.at(frozenUntil, () -> timer(ofLife));
                    return;
                }
                run(p -> p.node.tick(p.time(), p.seen));
                timer(ofLife);
            }
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
                final long ofLife = life;
                world.at(frozenUntil, () -> thaw(ofLife));
            }
            return;
        }
        handoff.publish(node.entries(time()));
        tellListener();
        heartbeats.tick(mono(), heartbeatOut);
        look();
        final long before = world.armed == CrashPoint.ACCEPT ? CrashPoint.committed(node, world.groups) : 0;
        final long began = System.nanoTime();
        final List<Action> actions = event.apply(this);
        busyNanos += System.nanoTime() - began;
        if (world.armed == CrashPoint.ACCEPT
                && before > 0
                && CrashPoint.committed(node, world.groups) > before
                && world.crashes(this)) {
            return;
        }
        obey(actions);
        if (alive) {
            look();
        }
    }

    private void thaw(final long ofLife) {
        if (alive && life == ofLife && !frozen()) {
            for (int n = backlog.size(); n > 0; n--) {
                run(backlog.poll());
            }
        }
    }

    /**
     * The state thread takes the listener's newest table, now and then late, as a thread does that was put aside
     * meanwhile.
     */
    private void look() {
        if (heartbeats.table() != seen && !tableLags) {
            final long ofLife = life;
            final long lag = lag();
            if (lag == 0) {
                takeTable();
            } else {
                tableLags = true;
                world.at(world.now() + lag, () -> {
                    if (alive && life == ofLife) {
                        tableLags = false;
                        if (!frozen()) {
                            takeTable();
                        }
                    }
                });
            }
        }
        flushHeartbeats();
    }

    private void takeTable() {
        seen = heartbeats.table();
        obey(node.tick(time(), seen));
        flushHeartbeats();
    }

    /** The listener takes the state thread's newest entries and its wish for a heartbeat, now and then late. */
    private void tellListener() {
        if (entriesLag) {
            return;
        }
        final long lag = lag();
        if (lag == 0) {
            listen();
            return;
        }
        entriesLag = true;
        final long ofLife = life;
        world.at(world.now() + lag, () -> {
            if (alive && life == ofLife) {
                entriesLag = false;
                handoff.publish(node.entries(time()));
                listen();
                flushHeartbeats();
            }
        });
    }

    private void listen() {
        final boolean wished = handoff.takeWish();
        heartbeats.own(handoff.entries());
        if (wished) {
            heartbeats.heartbeatNow(mono(), heartbeatOut);
        }
    }

    private long lag() {
        return world.random.nextInt(32) == 0 ? 1 + world.random.nextInt(40) : 0;
    }

    private void flushHeartbeats() {
        heartbeatOut.drain().forEach(a -> {
            world.observer.observe(world.now(), id, a);
            if (a instanceof Action.Send s) {
                world.net.send(this, s.node(), s.message());
            }
        });
    }

    void message(final int from, final PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            run(p -> {
                p.heartbeats.onHeartbeat(from, heartbeat, p.mono(), p.heartbeatOut);
                return List.of();
            });
        } else {
            run(p -> p.node.message(from, message, p.time()));
        }
    }

    void request(final NodeRequest request) {
        run(p -> p.node.request(request, p.time()));
    }

    void obey(final List<Action> actions) {
        boolean heartbeatNow = false;
        for (final Action action : actions) {
            if (!alive) {
                return;
            }
            world.observer.observe(world.now(), id, action);
            if (action instanceof Action.Send a) {
                if (!world.net.send(this, a.node(), a.message())) {
                    final long ofLife = life;
                    world.at(world.now(), () -> {
                        if (life == ofLife) {
                            run(p -> p.node.unsent(a.node(), a.message(), p.time()));
                        }
                    });
                }
            } else if (action instanceof Action.Write || action instanceof Action.Roll) {
                pending.add(action);
                if (world.armed == CrashPoint.APPEND
                        && action instanceof Action.Write w
                        && CrashPoint.ofWrite(w.entry()) == CrashPoint.SYNC
                        && CrashPoint.owns(node, world.groups)
                        && world.crashes(this)) {
                    return;
                }
            } else if (action instanceof Action.HeartbeatNow) {
                heartbeatNow = true;
            } else if (action instanceof Action.Respond a) {
                world.callers.respond(this, a.requestId(), a.response().at(mono()));
            } else if (action instanceof Action.DeliverLine a) {
                world.callers.deliver(this, a.sessionId(), a.line());
            } else if (action instanceof Action.Post a) {
                world.platform.post(this, a);
            } else if (action instanceof Action.CloseSession a) {
                world.callers.closed(this, a.sessionId(), a.reason());
            } else if (action instanceof Action.ToSession a) {
                world.callers.told.add(a);
            } else if (action instanceof Action.Note a) {
                world.note(id, a.text(), a.isError());
            }
            if (world.armed != null && CrashPoint.ofAction(action) == world.armed && world.crashes(this)) {
                return;
            }
        }
        final Set<Integer> now = node.heartbeatPeers();
        if (!now.equals(peers)) {
            peers = now;
            heartbeats.peers(now);
        }
        if (heartbeatNow) {
            handoff.publish(node.entries(time()));
            handoff.wish();
            tellListener();
            flushHeartbeats();
        }
        writeOut();
    }

    private void writeOut() {
        if (diskBusy || pending.isEmpty()) {
            return;
        }
        final List<Action> batch = pending;
        pending = new ArrayList<>();
        writer.add(batch);
        writeOut(batch);
    }

    private void writeOut(final List<Action> batch) {
        diskBusy = true;
        final long ofLife = life;
        final boolean allWritten;
        try {
            allWritten = writer.write();
        } catch (final RuntimeException ex) {
            world.kill(this, false);
            return;
        }
        world.at(world.now() + syncMs + world.random.nextInt(3), () -> {
            if (!alive || life != ofLife) {
                return;
            }
            final long number;
            try {
                number = world.mutations.contains(Mutation.NO_FSYNC) ? writer.written() : writer.sync();
            } catch (final RuntimeException ex) {
                // why: a failed sync takes the process out, as the real host does
                world.count("failed syncs");
                world.kill(this, false);
                return;
            }
            if (world.armed != null
                    && allWritten
                    && batch.stream()
                            .anyMatch(a -> a instanceof Action.Write w && CrashPoint.ofWrite(w.entry()) == world.armed)
                    && CrashPoint.owns(node, world.groups)
                    && world.crashes(this)) {
                return;
            }
            diskBusy = !allWritten;
            run(p -> p.node.synced(number, p.time()));
            writeAgain(allWritten, ofLife);
        });
    }

    /** What has come meanwhile is written at once, what found the disk full after a pause. */
    private void writeAgain(final boolean allWritten, final long ofLife) {
        if (!alive) {
            return;
        }
        if (writer.takeSnapshotRefused()) {
            world.count("snapshots without room");
            world.at(world.now() + world.timing.recoverMs() / 4, () -> {
                if (alive && life == ofLife) {
                    run(p -> p.node.snapshotRefused(p.time()));
                }
            });
        }
        if (!allWritten) {
            world.count("writes that found the disk full");
            world.at(world.now() + world.timing.diskPause(), () -> {
                if (alive && life == ofLife) {
                    final List<Action> since = pending;
                    pending = new ArrayList<>();
                    writer.add(since);
                    writeOut(since);
                }
            });
        } else if (!frozen()) {
            writeOut();
        }
    }
}
