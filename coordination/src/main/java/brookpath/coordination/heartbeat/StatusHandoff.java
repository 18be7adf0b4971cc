package brookpath.coordination.heartbeat;

import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Passes the state thread's newest entries, and requests to send them at once, to the replication listener thread. The
 * state thread publishes before it requests, and the listener takes the request before it reads the entries, so a
 * request is never served with entries that are older than it.
 */
public final class StatusHandoff {
    private final AtomicBoolean heartbeatRequested = new AtomicBoolean();
    private volatile List<HeartbeatEntry> entries = List.of();
    private volatile boolean historyFull;

    /** Called by the state thread: replaces the entries that heartbeats carry. */
    public void publish(final List<HeartbeatEntry> newest) {
        entries = newest;
    }

    /** Called by the state thread: sets whether the process has no memory for further records. */
    public void publishHistoryFull(final boolean full) {
        historyFull = full;
    }

    /** Called by the listener thread: whether the process has no memory for further records. */
    public boolean historyFull() {
        return historyFull;
    }

    /**
     * Called by any thread: requests a heartbeat without waiting for the period. True if no request was pending, so
     * that the listener thread has to be woken.
     */
    public boolean requestHeartbeat() {
        return heartbeatRequested.compareAndSet(false, true);
    }

    /**
     * Called by the listener thread before {@link #entries()}: whether a heartbeat was requested since the last call.
     */
    public boolean takeHeartbeatRequest() {
        return heartbeatRequested.compareAndSet(true, false);
    }

    /** Called by the listener thread: the newest entries. */
    public List<HeartbeatEntry> entries() {
        return entries;
    }
}
