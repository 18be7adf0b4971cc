package brookpath.transport.loop;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.heartbeat.StatusHandoff;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.node.Node;
import brookpath.transport.wire.Wire;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * The replication listener thread: sends heartbeats in rounds, answers those of peers, and owns the table of the
 * received ones. Other threads pass it received heartbeats, entries to send and the set of peers, and read the table.
 */
final class HeartbeatLoop implements Runnable {
    private static final int MAX_QUEUED_HEARTBEATS = 1_024;

    /** @param heartbeat null if the node sent none, but a session with it has begun */
    private record ReceivedHeartbeat(int from, PeerMessage.Heartbeat heartbeat) {}

    /** Wakes the thread for a requested round although nothing was received. */
    private static final ReceivedHeartbeat WAKE_UP = new ReceivedHeartbeat(0, null);

    private final Node node;
    private final TimingBounds timing;
    private final Wire wire;
    private final EventQueue events;
    private final LoopThreads threads;
    private final BlockingQueue<ReceivedHeartbeat> inbox = new LinkedBlockingQueue<>();
    private final StatusHandoff status = new StatusHandoff();
    private volatile HeartbeatTable table = HeartbeatTable.EMPTY;
    private volatile Set<Integer> peers = Set.of();

    HeartbeatLoop(
            final Node node,
            final TimingBounds timing,
            final Wire wire,
            final EventQueue events,
            final LoopThreads threads) {
        this.node = node;
        this.timing = timing;
        this.wire = wire;
        this.events = events;
        this.threads = threads;
    }

    // ---- from other threads

    /** The last heartbeat of every process, as an immutable snapshot. */
    HeartbeatTable table() {
        return table;
    }

    /** Sets the nodes that heartbeats are sent to from now on. */
    void setPeers(final Set<Integer> newPeers) {
        if (!newPeers.equals(peers)) {
            peers = newPeers;
        }
    }

    /** Sets what heartbeats report from now on. */
    void publish(final List<PeerMessage.HeartbeatEntry> entries, final boolean historyFull) {
        status.publishHistoryFull(historyFull);
        status.publish(entries);
    }

    /** Requests a round of heartbeats before the next one is due. */
    void requestHeartbeat() {
        if (status.requestHeartbeat()) {
            inbox.add(WAKE_UP);
        }
    }

    /** Sends a heartbeat to a node with which a session has just begun. */
    void sessionUp(final int node) {
        inbox.add(new ReceivedHeartbeat(node, null));
    }

    void receive(final int from, final PeerMessage.Heartbeat heartbeat) {
        if (inbox.size() > MAX_QUEUED_HEARTBEATS) {
            // A newer heartbeat supersedes an older one.
            inbox.poll();
        }
        inbox.add(new ReceivedHeartbeat(from, heartbeat));
    }

    /** The number of received heartbeats that are queued. */
    int queuedHeartbeats() {
        return inbox.size();
    }

    // ---- the thread

    @Override
    public void run() {
        final HeartbeatMonitor monitor = new HeartbeatMonitor(timing, node.heartbeatPeriod(), node.promises());
        final Actions out = new Actions();
        Set<Integer> knownPeers = Set.of();
        try {
            while (!threads.closed()) {
                final long waitMs = monitor.nextRound() - SystemClock.monotonicMs();
                final ReceivedHeartbeat received = waitMs <= 0 ? inbox.poll() : inbox.poll(waitMs, MILLISECONDS);
                final long nowMs = SystemClock.monotonicMs();
                if (peers != knownPeers) {
                    knownPeers = peers;
                    monitor.setPeers(knownPeers);
                }
                if (round(monitor, received, nowMs, out)) {
                    events.requestTick();
                }
            }
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean process(
            final HeartbeatMonitor monitor, final ReceivedHeartbeat received, final long nowMs, final Actions out) {
        if (received.heartbeat != null) {
            return monitor.onHeartbeat(received.from, received.heartbeat, nowMs, out);
        }
        monitor.heartbeatTo(received.from, nowMs, out);
        return false;
    }

    /** Processes the received heartbeat and sends those due; true if the state thread should read the table. */
    @SuppressWarnings("ReferenceEquality") // WAKE_UP is a sentinel, compared by identity
    private boolean round(
            final HeartbeatMonitor monitor, final ReceivedHeartbeat received, final long nowMs, final Actions out) {
        final boolean heartbeatRequested = status.takeHeartbeatRequest();
        monitor.setOwnEntries(status.entries());
        monitor.setOwnHistoryFull(status.historyFull());
        boolean changed = false;
        if (received != null && received != WAKE_UP) {
            changed = process(monitor, received, nowMs, out);
            // The state thread must be able to see a heartbeat before its sender gets the acknowledgement.
            table = monitor.table();
        }
        changed |= monitor.tick(nowMs, out);
        if (heartbeatRequested) {
            monitor.heartbeatNow(nowMs, out);
        }
        table = monitor.table();
        for (final Action action : out.drain()) {
            if (action instanceof Action.Send send) {
                wire.send(send.node(), send.message());
            }
        }
        return changed;
    }
}
