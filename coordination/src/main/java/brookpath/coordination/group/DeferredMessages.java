package brookpath.coordination.group;

import brookpath.coordination.message.PeerMessage;
import java.util.ArrayDeque;

/** Messages that are sent only once a write is synced, in the order of their writes. */
final class DeferredMessages {
    /**
     * A message and the write that it waits for.
     *
     * @param since when it began to wait, in milliseconds of the steady clock
     */
    record Deferred(long write, int node, PeerMessage message, long since) {}

    private final ArrayDeque<Deferred> queue = new ArrayDeque<>();

    /** Sends the message to the node once the write is synced. */
    void add(final long write, final int node, final PeerMessage message, final long now) {
        queue.add(new Deferred(write, node, message, now));
    }

    /** Takes the next message whose write is synced, null for none; all writes up to this number are synced. */
    Deferred poll(final long syncedWrite) {
        return queue.isEmpty() || queue.peek().write > syncedWrite ? null : queue.poll();
    }

    /** How long the oldest message has waited, in milliseconds; 0 for none. */
    long lag(final long now) {
        return queue.isEmpty() ? 0 : now - queue.peek().since;
    }
}
