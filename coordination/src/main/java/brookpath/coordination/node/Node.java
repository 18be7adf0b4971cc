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
 * One process as a state machine: each event comes with the time and gives back actions. The same code runs under the
 * simulator's time and under the state thread's.
 */
public abstract class Node {
    private static final long UNKNOWN = Long.MIN_VALUE;

    protected final int self;
    protected final TimingBounds timing;
    protected final Actions out = new Actions();
    protected HeartbeatTable table = HeartbeatTable.EMPTY;
    protected final HeartbeatPromises promises;
    protected long bornAt = UNKNOWN;

    protected Node(final int self, final TimingBounds timing) {
        this.self = self;
        this.timing = timing;
        promises = new HeartbeatPromises(timing.down());
    }

    /** When this process began, where that is known: what its former life promised, it promised before. */
    public final void bornAt(final long mono) {
        bornAt = mono;
    }

    /** Shared with the listener thread, and safe to. */
    public final HeartbeatPromises promises() {
        return promises;
    }

    /** Monotonic and wall time, in milliseconds. */
    public record Time(long mono, long wall) {}

    public final List<Action> tick(final Time time, final HeartbeatTable newTable) {
        table = newTable;
        onTick(time);
        return out.drain();
    }

    public final List<Action> message(final int from, final PeerMessage message, final Time time) {
        onMessage(from, message, time);
        return out.drain();
    }

    public final List<Action> synced(final long number, final Time time) {
        onSynced(number, time);
        return out.drain();
    }

    /** The message never left this process. */
    public final List<Action> unsent(final int to, final PeerMessage message, final Time time) {
        onUnsent(to, message, time);
        return out.drain();
    }

    /** The session with a peer broke; what was under way on it may or may not have arrived. */
    public final List<Action> sessionLost(final int node, final Time time) {
        onSessionLost(node, time);
        return out.drain();
    }

    /** The disk gives back something else than was written; what is in memory is whole and is written anew. */
    public final List<Action> damaged(final Time time) {
        out.note("the data folder reads back damaged; it is written anew");
        onDamage(time);
        return out.drain();
    }

    /** There was no room for the last snapshot; another is tried. */
    public final List<Action> snapshotRefused(final Time time) {
        onDamage(time);
        return out.drain();
    }

    public final List<Action> request(final NodeRequest request, final Time time) {
        onRequest(request, time);
        return out.drain();
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

    protected void onDamage(final Time time) {
        // why: a process without a disk has nothing that could be damaged
    }

    protected void onUnsent(final int to, final PeerMessage message, final Time time) {
        // why: what is asked again by a timer needs no word of a lost message
    }

    protected void onSessionLost(final int node, final Time time) {
        // why: as above
    }

    /** Between two heartbeats to each peer. */
    public long heartbeatPeriod() {
        return timing.heartbeat();
    }

    /**
     * How long this process may be left alone while nothing happens, in milliseconds: timers cost, and most of them
     * would find nothing to do.
     */
    public long restMs(final Time time) {
        return timing.tick();
    }

    /** Replays one entry of the log before the first event. */
    public abstract void replay(byte[] entry, Time time);

    public abstract List<HeartbeatEntry> entries(Time time);

    public abstract Set<Integer> heartbeatPeers();

    public abstract String statusJson(Time time);

    /** The zones of the processes that this one knows, for counting what goes between zones. */
    public abstract Map<Integer, String> zones();
}
