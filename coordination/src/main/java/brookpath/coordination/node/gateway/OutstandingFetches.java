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
    /** Fetches beyond so many are no longer awaited, the oldest first. */
    private static final int MAX_OUTSTANDING = 8;

    /** In place of the ID of a dropped fetch: none was dropped. */
    private static final long NONE = 0;

    private final List<Long> ids = new ArrayList<>();

    /** Adds the newest fetch; returns the ID of one that is no longer awaited for it, 0 for none. */
    long add(final long id) {
        ids.add(id);
        return ids.size() > MAX_OUTSTANDING ? ids.remove(0) : NONE;
    }

    /** Takes out one that is answered or was not sent; false where it is not awaited. */
    boolean remove(final long id) {
        return ids.remove(Long.valueOf(id));
    }

    /** Whether no fetch was sent after this one. */
    boolean isNewest(final long id) {
        return !ids.isEmpty() && ids.get(ids.size() - 1) == id;
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
}
