package brookpath.coordination.node.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * The request IDs of the fetches for one thing that have no reply yet: the newest, and those before it that were
 * repeated because they were overdue. The reply to any of them is progress; where those to repeated fetches were
 * dropped, a node that handles replies later than its own time-out would never get on.
 *
 * <p>Invariant: all request the same from the same positions. Whoever requests something else, or adopts a reply,
 * clears them first.
 */
final class OutstandingFetches {
    /** The time-out is doubled for each repetition, up to this many times, so that a node that lags asks less. */
    private static final int MAX_DOUBLINGS = 2;

    private final List<Long> ids = new ArrayList<>();

    void add(final long id) {
        ids.add(id);
    }

    /** Takes out one that is answered or was not sent; false where it is not awaited. */
    boolean remove(final long id) {
        return ids.remove(Long.valueOf(id));
    }

    boolean isEmpty() {
        return ids.isEmpty();
    }

    /** No reply to any of them is awaited any more. */
    void clear() {
        ids.clear();
    }

    /** The IDs, oldest first, as a new list. */
    List<Long> ids() {
        return List.copyOf(ids);
    }

    /** How long the newest may go without a reply, where the first one may for {@code timeoutMs}. */
    long timeoutMs(final long timeoutMs) {
        final int repetitions = Math.max(0, ids.size() - 1);
        return timeoutMs << Math.min(repetitions, MAX_DOUBLINGS);
    }
}
