package brookpath.testing.fuzz;

import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Membership;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** One member: the production state machine and heartbeats, driven in virtual time the way a process drives them. */
final class FuzzMember {
    private static final int TOPIC_RETENTION_MS = 600_000;
    private static final int USAGE_WINDOW_MS = 10_000;

    /** The state of a member at the oracle's last check. */
    record Observed(int role, String reason, long committed) {}

    private final FuzzContext context;
    private final int id;
    private final FuzzDisk disk;
    private Actions out;
    private Actions heartbeatOut;
    private GroupMachine group;
    private HeartbeatMonitor heartbeats;
    private int incarnation;
    private boolean alive;
    private long frozenUntil;
    private long tableLagsUntil;
    private long entriesLagUntil;
    private TreeSet<Integer> peers;
    private Observed observed = new Observed(GroupMachine.FOLLOWER, "", 0);

    FuzzMember(final FuzzContext context, final int id) {
        this.context = context;
        this.id = id;
        disk = new FuzzDisk(context, this);
    }

    int id() {
        return id;
    }

    /** Null before the first start. */
    GroupMachine group() {
        return group;
    }

    int incarnation() {
        return incarnation;
    }

    boolean alive() {
        return alive;
    }

    boolean running() {
        return alive && context.now() >= frozenUntil;
    }

    boolean acts() {
        return running() && group.mayAct(context.now());
    }

    void start(final boolean first) {
        incarnation++;
        alive = true;
        observed = new Observed(GroupMachine.FOLLOWER, observed.reason(), observed.committed());
        out = new Actions();
        heartbeatOut = new Actions();
        final HeartbeatPromises promises = new HeartbeatPromises(context.timing.detectionTime());
        heartbeats = new HeartbeatMonitor(context.timing, context.timing.heartbeat(), promises);
        peers = null;
        group = new GroupMachine(
                FuzzContext.GROUP,
                id,
                context.timing,
                1,
                context.seed,
                () -> new TopicState((topic, now) -> TOPIC_RETENTION_MS, USAGE_WINDOW_MS),
                promises,
                out);
        disk.dropUnsynced();
        recover(first);
        updatePeers();
        execute();
        scheduleTick(incarnation);
    }

    private void recover(final boolean first) {
        for (final byte[] entry : disk.synced()) {
            final PackedBuffer in = PackedBuffer.reader(entry);
            in.getLong();
            group.replay(in, context.now());
        }
        final boolean founder = Membership.find(context.founders, id) != null;
        if (first && founder) {
            group.found();
        }
        if (founder || group.membership().holds(id)) {
            group.configure(context.founders, 1, true, context.now());
        }
    }

    private void scheduleTick(final int scheduledBy) {
        context.after(context.timing.tick(), () -> {
            if (alive && incarnation == scheduledBy) {
                run(() -> {});
                scheduleTick(scheduledBy);
            }
        });
    }

    void losePower() {
        context.oracle.trace(
                "member " + id + " loses power at synced " + group.syncedIndex() + " of " + group.endIndex());
        alive = false;
        incarnation++;
    }

    void freeze(final long forMs) {
        frozenUntil = context.now() + forMs;
    }

    void syncTakes(final long syncMs) {
        disk.syncTakes(syncMs);
    }

    void resetSyncTime() {
        disk.syncTakes(FuzzDisk.USUAL_SYNC_MS);
    }

    void publish() {
        if (acts()) {
            run(() -> {
                if (group.mayAct(context.now())) {
                    final long number = context.events.scheduled();
                    group.append(
                            LogRecord.PUBLISH,
                            LogRecord.publishBody(number, 2, "t", "s/t", "a" + id, "x" + number),
                            context.now(),
                            context.now());
                }
            });
        }
    }

    void receive(final int from, final PeerMessage message) {
        run(() -> {
            if (message instanceof PeerMessage.Heartbeat heartbeat) {
                heartbeats.onHeartbeat(from, heartbeat, context.now(), heartbeatOut);
                takeHeartbeatTable();
            } else {
                group.on(from, message, context.now());
            }
        });
    }

    /** One event of the state thread; a frozen member handles it after the freeze, unless it has restarted by then. */
    void run(final Runnable event) {
        if (!alive) {
            return;
        }
        if (context.now() < frozenUntil) {
            final int scheduledBy = incarnation;
            context.after(frozenUntil - context.now(), () -> {
                if (incarnation == scheduledBy) {
                    run(event);
                }
            });
            return;
        }
        publishHeartbeatEntries();
        heartbeats.tick(context.now(), heartbeatOut);
        event.run();
        takeHeartbeatTable();
        updatePeers();
        execute();
        final Observed before = observed;
        context.oracle.check(this, before);
        observed = new Observed(group.role(), group.why(), group.committed());
    }

    /** Sends heartbeats to the members in the newest membership that this member knows, as a node does. */
    private void updatePeers() {
        final TreeSet<Integer> others = new TreeSet<>();
        if (group.membership().holds(id)) {
            group.membership().voters().forEach(member -> others.add(member.node()));
            group.membership().learners().forEach(member -> others.add(member.node()));
        }
        others.remove(id);
        if (!others.equals(peers)) {
            peers = others;
            heartbeats.setPeers(others);
        }
    }

    /** Heartbeats and state are two threads: each reads the other's newest state, sometimes with a lag. */
    private void takeHeartbeatTable() {
        if (context.now() >= tableLagsUntil) {
            tableLagsUntil = context.now() + lagMs();
            group.tick(context.now(), heartbeats.table());
        }
    }

    private void publishHeartbeatEntries() {
        if (context.now() >= entriesLagUntil) {
            entriesLagUntil = context.now() + lagMs();
            heartbeats.setOwnEntries(group.membership().holds(id) ? List.of(group.entry(context.now())) : List.of());
        }
    }

    private long lagMs() {
        return context.random.nextInt(1000) < context.style.lagPerThousand()
                ? context.random.nextInt(context.style.maxLagMs())
                : 0;
    }

    private void execute() {
        boolean heartbeatNow = false;
        final List<Action> actions = new ArrayList<>(out.drain());
        actions.addAll(heartbeatOut.drain());
        for (final Action action : actions) {
            if (action instanceof Action.Send send) {
                context.network.send(id, send.node(), send.message());
            } else if (action instanceof Action.Write write) {
                disk.append(write.number(), write.entry());
            } else if (action instanceof Action.WriteAll writes) {
                writes.entries().forEach(entry -> disk.append(writes.number(), entry.toByteArray()));
            } else if (action instanceof Action.HeartbeatNow) {
                heartbeatNow = true;
            } else if (action instanceof Action.Note note && note.isError()) {
                context.oracle.violation(note.text());
            }
        }
        if (heartbeatNow) {
            publishHeartbeatEntries();
            heartbeats.heartbeatNow(context.now(), heartbeatOut);
            execute();
        }
        disk.sync();
    }

    /** Called when everything up to this write is synced. */
    void onSynced(final long number) {
        run(() -> group.synced(number, context.now()));
    }
}
