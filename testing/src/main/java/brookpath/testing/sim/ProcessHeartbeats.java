package brookpath.testing.sim;

import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.heartbeat.StatusHandoff;
import brookpath.coordination.message.PeerMessage;
import java.util.Set;

/**
 * The heartbeat thread of a simulated process. It and the state thread occasionally pick up each other's newest state
 * late, as threads do that the scheduler has preempted.
 */
final class ProcessHeartbeats {
    private static final int CALLS_PER_LAG = 32;
    private static final int MAX_LAG_MS = 40;

    private final SimulatedProcess process;
    private final Actions out = new Actions();
    private final StatusHandoff handoff = new StatusHandoff();
    private HeartbeatMonitor monitor;
    private HeartbeatTable lastTable = HeartbeatTable.EMPTY;
    private boolean tableLags;
    private boolean entriesLag;
    private Set<Integer> peers = Set.of();

    ProcessHeartbeats(final SimulatedProcess process) {
        this.process = process;
    }

    /** Discards the state of the previous incarnation. */
    void reset() {
        lastTable = HeartbeatTable.EMPTY;
        peers = Set.of();
        tableLags = false;
        entriesLag = false;
        handoff.takeHeartbeatRequest();
        out.drain();
    }

    /** Starts monitoring for the process's new node. */
    void start() {
        monitor = new HeartbeatMonitor(
                process.cluster.timingOf(process.id), process.node.heartbeatPeriod(), process.node.promises());
    }

    /** The table that the state thread has taken last. */
    HeartbeatTable lastTable() {
        return lastTable;
    }

    /** Runs before each event of the state thread. */
    void tick() {
        publishEntries();
        takeEntriesNowOrLater();
        monitor.tick(process.mono(), out);
        takeTableNowOrLater();
    }

    void onHeartbeat(final int from, final PeerMessage.Heartbeat heartbeat) {
        monitor.onHeartbeat(from, heartbeat, process.mono(), out);
    }

    /** Directs heartbeats to the node's current heartbeat peers. */
    void updatePeers() {
        final Set<Integer> current = process.node.heartbeatPeers();
        if (!current.equals(peers)) {
            peers = current;
            monitor.setPeers(current);
        }
    }

    /** The state thread requests a heartbeat ahead of the next period. */
    void requestHeartbeat() {
        publishEntries();
        handoff.requestHeartbeat();
        takeEntriesNowOrLater();
        send();
    }

    /** The state thread takes the newest table, at once or after a random lag. */
    void takeTableNowOrLater() {
        if (monitor.table() != lastTable && !tableLags) {
            final long lagMs = lagMs();
            if (lagMs == 0) {
                takeTable();
            } else {
                tableLags = true;
                process.after(lagMs, () -> {
                    tableLags = false;
                    if (!process.frozen()) {
                        takeTable();
                    }
                });
            }
        }
        send();
    }

    private void takeTable() {
        lastTable = monitor.table();
        process.execute(process.node.tick(process.time(), lastTable));
        send();
    }

    private void publishEntries() {
        handoff.publishHistoryFull(process.node.historyFull());
        handoff.publish(process.node.entries(process.time()));
    }

    /** The heartbeat thread takes the state thread's newest entries and heartbeat request, at once or after a lag. */
    private void takeEntriesNowOrLater() {
        if (entriesLag) {
            return;
        }
        final long lagMs = lagMs();
        if (lagMs == 0) {
            takeEntries();
            return;
        }
        entriesLag = true;
        process.after(lagMs, () -> {
            entriesLag = false;
            publishEntries();
            takeEntries();
            send();
        });
    }

    private void takeEntries() {
        final boolean requested = handoff.takeHeartbeatRequest();
        monitor.setOwnEntries(handoff.entries());
        monitor.setOwnHistoryFull(handoff.historyFull());
        if (requested) {
            monitor.heartbeatNow(process.mono(), out);
        }
    }

    private long lagMs() {
        return process.cluster.random.nextInt(CALLS_PER_LAG) == 0 ? 1 + process.cluster.random.nextInt(MAX_LAG_MS) : 0;
    }

    private void send() {
        out.drain().forEach(action -> {
            process.cluster.observer.observe(process.cluster.now(), process.id, action);
            if (action instanceof Action.Send send) {
                process.cluster.net.send(process, send.node(), send.message());
            }
        });
    }
}
