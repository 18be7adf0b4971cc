package brookpath.testing.sim;

import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.heartbeat.StatusHandoff;
import brookpath.coordination.message.PeerMessage;
import java.util.Set;

/**
 * The heartbeat thread of a simulated process. It and the state thread take each other's newest state now and then
 * late, as threads do that were put aside meanwhile.
 */
final class ProcessHeartbeats {
    private static final int ONE_LAG_IN = 32;
    private static final int MAX_LAG_MS = 40;

    private final SimulatedProcess process;
    private final Actions out = new Actions();
    private final StatusHandoff handoff = new StatusHandoff();
    private HeartbeatMonitor monitor;
    private HeartbeatTable seen = HeartbeatTable.EMPTY;
    private boolean tableLags;
    private boolean entriesLag;
    private Set<Integer> peers = Set.of();

    ProcessHeartbeats(final SimulatedProcess process) {
        this.process = process;
    }

    /** Forgets what a former incarnation knew. */
    void reset() {
        seen = HeartbeatTable.EMPTY;
        peers = Set.of();
        tableLags = false;
        entriesLag = false;
        handoff.takeHeartbeatRequest();
        out.drain();
    }

    /** Begins with the process's new node. */
    void start() {
        monitor = new HeartbeatMonitor(
                process.cluster.timingOf(process.id), process.node.heartbeatPeriod(), process.node.promises());
    }

    /** The table as the state thread has it. */
    HeartbeatTable seen() {
        return seen;
    }

    /** Runs before each event of the state thread. */
    void tick() {
        publishEntries();
        takeEntriesNowOrLate();
        monitor.tick(process.mono(), out);
        takeTableNowOrLate();
    }

    void onHeartbeat(final int from, final PeerMessage.Heartbeat heartbeat) {
        monitor.onHeartbeat(from, heartbeat, process.mono(), out);
    }

    /** Heartbeats go to the peers that the node names now. */
    void updatePeers() {
        final Set<Integer> now = process.node.heartbeatPeers();
        if (!now.equals(peers)) {
            peers = now;
            monitor.setPeers(now);
        }
    }

    /** The state thread asks for a heartbeat without waiting for the period. */
    void requestHeartbeat() {
        publishEntries();
        handoff.requestHeartbeat();
        takeEntriesNowOrLate();
        send();
    }

    /** The state thread takes the newest table. */
    void takeTableNowOrLate() {
        if (monitor.table() != seen && !tableLags) {
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
        seen = monitor.table();
        process.execute(process.node.tick(process.time(), seen));
        send();
    }

    private void publishEntries() {
        handoff.publish(process.node.entries(process.time()));
    }

    /** The heartbeat thread takes the state thread's newest entries and its request for a heartbeat. */
    private void takeEntriesNowOrLate() {
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
        if (requested) {
            monitor.heartbeatNow(process.mono(), out);
        }
    }

    private long lagMs() {
        return process.cluster.random.nextInt(ONE_LAG_IN) == 0 ? 1 + process.cluster.random.nextInt(MAX_LAG_MS) : 0;
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
