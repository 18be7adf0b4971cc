package brookpath.coordination.node;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.metadata.ClusterMetadata;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One process as a state machine: each event comes with the time and returns the actions to carry out, in order. Not
 * thread-safe: all calls come from the state thread, or from the simulator, except where a method says otherwise.
 */
public abstract class Node {
    private static final long UNKNOWN = Long.MIN_VALUE;

    protected final int self;
    protected final TimingBounds timing;
    protected final Actions out = new Actions();
    protected HeartbeatTable table = HeartbeatTable.EMPTY;
    protected final HeartbeatPromises promises;
    protected long startedAt = UNKNOWN;

    protected Node(final int self, final TimingBounds timing) {
        this.self = self;
        this.timing = timing;
        promises = new HeartbeatPromises(timing.detectionTime());
    }

    /**
     * Sets when this process started, in monotonic milliseconds: all heartbeat promises of earlier incarnations were
     * made before that time.
     */
    public final void startedAt(final long mono) {
        startedAt = mono;
    }

    /** The heartbeat promises of this process. Thread-safe: the heartbeat thread shares them. */
    public final HeartbeatPromises promises() {
        return promises;
    }

    /** Monotonic and wall time, in milliseconds. */
    public record Time(long mono, long wall) {}

    /** Runs the timers that are due, and adopts the newest heartbeat table for this and the following events. */
    public final List<Action> tick(final Time time, final HeartbeatTable newTable) {
        table = newTable;
        onTick(time);
        return out.drain();
    }

    /**
     * Handles a message from the peer with the node number {@code from}; a message that this role does not use is
     * ignored.
     */
    public final List<Action> message(final int from, final PeerMessage message, final Time time) {
        onMessage(from, message, time);
        return out.drain();
    }

    /** Handles a sync: the log entries up to this number are durable on disk, and what depends on them may continue. */
    public final List<Action> synced(final long number, final Time time) {
        onSynced(number, time);
        return out.drain();
    }

    /** Handles a message that was not sent, so that its receiver certainly has not seen it. */
    public final List<Action> unsent(final int to, final PeerMessage message, final Time time) {
        onUnsent(to, message, time);
        return out.drain();
    }

    /** Handles a broken connection to a peer; messages in flight on it may or may not have arrived. */
    public final List<Action> connectionLost(final int node, final Time time) {
        onSessionLost(node, time);
        return out.drain();
    }

    /** Handles a disk that returned other bytes than were written: the complete state in memory is written again. */
    public final List<Action> damaged(final Time time) {
        out.note("the data folder reads back damaged; it is written anew");
        rollLog(time);
        return out.drain();
    }

    /** Handles a snapshot that did not fit on the disk: another is attempted. */
    public final List<Action> snapshotRefused(final Time time) {
        rollLog(time);
        return out.drain();
    }

    /** Handles a request of a caller or operator; the response is an action of this or a later event. */
    public final List<Action> request(final NodeRequest request, final Time time) {
        onRequest(request, time);
        return out.drain();
    }

    /** Logs an event that happens once after the start of the process, with the time since the start. */
    protected final void reportStartupMilestone(final String what, final long now) {
        final String since = startedAt == UNKNOWN ? "" : ", " + (now - startedAt) + " ms after the process started";
        out.milestone(what + since);
    }

    protected static Map<Integer, String> zonesOf(final ClusterMetadata metadata) {
        final Map<Integer, String> zones = new HashMap<>();
        metadata.nodes().forEach(n -> zones.put(n.node(), n.zone()));
        return zones;
    }

    protected abstract void onTick(Time time);

    protected abstract void onMessage(int from, PeerMessage message, Time time);

    protected abstract void onSynced(long number, Time time);

    protected abstract void onRequest(NodeRequest request, Time time);

    /** Replaces the local log by a snapshot of the current state. */
    protected void rollLog(final Time time) {
        // A process without a disk has no log to replace
    }

    protected void onUnsent(final int to, final PeerMessage message, final Time time) {
        // Requests that a timer retries need no notification of an unsent message
    }

    protected void onSessionLost(final int node, final Time time) {
        // Requests that a timer retries need no notification of a lost connection
    }

    /** The interval between two heartbeats to each peer, in milliseconds. */
    public long heartbeatPeriod() {
        return timing.heartbeat();
    }

    /**
     * How long the next tick may be delayed while no event comes, in milliseconds: ticks cost processor time, and most
     * of them find nothing to do.
     */
    public long maxTickDelayMs(final Time time) {
        return timing.tick();
    }

    /** Replays one entry of the local log; called for all entries in order, before the first event. */
    public abstract void replay(byte[] entry, Time time);

    /** The state of each local replica for the heartbeats that this process sends; empty where it has no replica. */
    public abstract List<HeartbeatEntry> entries(Time time);

    /** Whether this process has no memory for further records of its replicas, which its heartbeats report. */
    public boolean historyFull() {
        return false;
    }

    /** The node numbers that this process exchanges heartbeats with, itself excluded. */
    public abstract Set<Integer> heartbeatPeers();

    /** The status page for operators, as a JSON object. */
    public abstract String statusJson(Time time);

    /** The zone of each known process by node number, for measuring the traffic between zones. */
    public abstract Map<Integer, String> zones();
}
