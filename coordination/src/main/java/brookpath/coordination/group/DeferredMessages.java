package brookpath.coordination.group;

import brookpath.coordination.message.PeerMessage;
import java.util.ArrayDeque;

/** Messages that must not be sent before a write is synced, in the order of those writes. */
final class DeferredMessages {
    /**
     * A message and the number of the write that must be synced before it is sent.
     *
     * @param since when it was queued, in milliseconds of the steady clock
     */
    record Deferred(long write, int node, PeerMessage message, long since) {}

    private final ArrayDeque<Deferred> queue = new ArrayDeque<>();

    /** Sends the message to the node once the write is synced. */
    void add(final long write, final int node, final PeerMessage message, final long now) {
        queue.add(new Deferred(write, node, message, now));
    }

    /**
     * Removes and returns the next message whose write is synced, null for none; {@code syncedWrite} is the newest
     * synced write.
     */
    Deferred poll(final long syncedWrite) {
        return queue.isEmpty() || queue.peek().write > syncedWrite ? null : queue.poll();
    }

    /** How long the oldest message has been queued, in milliseconds; 0 for none. */
    long lag(final long now) {
        return queue.isEmpty() ? 0 : now - queue.peek().since;
    }
}
