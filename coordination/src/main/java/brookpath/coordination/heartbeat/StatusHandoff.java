package brookpath.coordination.heartbeat;

import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Hands the state thread's newest entries, and its wish that they are told at once, to the replication listener thread.
 * The state thread publishes before it wishes; the listener takes the wish before it reads the entries. So a wish is
 * never spent on entries that are older than it.
 */
public final class StatusHandoff {
    private final AtomicBoolean wished = new AtomicBoolean();
    private volatile List<HeartbeatEntry> entries = List.of();

    /** State thread: these are the entries from here on. */
    public void publish(final List<HeartbeatEntry> newest) {
        entries = newest;
    }

    /**
     * Any thread: a heartbeat is to go out without waiting for its period. True where no wish was pending, so that the
     * listener has to be woken.
     */
    public boolean wish() {
        return wished.compareAndSet(false, true);
    }

    /** Listener thread, before {@link #entries()}: whether a heartbeat was wished for since it last asked. */
    public boolean takeWish() {
        return wished.compareAndSet(true, false);
    }

    /** Listener thread: the newest entries. */
    public List<HeartbeatEntry> entries() {
        return entries;
    }
}
