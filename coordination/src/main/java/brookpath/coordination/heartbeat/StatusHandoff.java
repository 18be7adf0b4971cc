package brookpath.coordination.heartbeat;

import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Passes the state thread's newest entries, and requests to send them at once, to the replication listener thread. The
 * state thread publishes before it requests; the listener takes the request before it reads the entries. So a request
 * is never served with entries that are older than it.
 */
public final class StatusHandoff {
    private final AtomicBoolean wished = new AtomicBoolean();
    private volatile List<HeartbeatEntry> entries = List.of();

    /** State thread: replaces the entries that heartbeats carry. */
    public void publish(final List<HeartbeatEntry> newest) {
        entries = newest;
    }

    /**
     * Any thread: requests a heartbeat without waiting for the period. True where no request was pending, so that the
     * listener has to be woken.
     */
    public boolean requestHeartbeat() {
        return wished.compareAndSet(false, true);
    }

    /** Listener thread, before {@link #entries()}: whether a heartbeat was requested since the last call. */
    public boolean takeHeartbeatRequest() {
        return wished.compareAndSet(true, false);
    }

    /** Listener thread: the newest entries. */
    public List<HeartbeatEntry> entries() {
        return entries;
    }
}
