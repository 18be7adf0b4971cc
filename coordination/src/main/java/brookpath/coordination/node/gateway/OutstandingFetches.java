package brookpath.coordination.node.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * The request IDs of one feed's or subscription's fetches that have no reply yet: the newest, and earlier ones that
 * were repeated because they were overdue. The reply to any of them is progress: if replies to fetches that were
 * repeated were dropped, a node that handles replies later than its own time-out would never make progress.
 *
 * <p>Invariant: all of them request the same topics from the same positions. They are cleared before a different fetch
 * is sent, and when a reply is adopted.
 */
final class OutstandingFetches {
    /** The most fetches whose replies are awaited; beyond that the oldest is dropped. */
    private static final int MAX_OUTSTANDING = 8;

    /** Stands for the ID of a dropped fetch where none was dropped. */
    private static final long NONE = 0;

    private final List<Long> ids = new ArrayList<>();

    /** Adds the newest fetch; returns the ID of the fetch that is dropped in its place, 0 for none. */
    long add(final long id) {
        ids.add(id);
        return ids.size() > MAX_OUTSTANDING ? ids.remove(0) : NONE;
    }

    /** Removes a fetch that got its reply or was not sent; false where it is not outstanding. */
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

    /** Stops awaiting replies to any of them. */
    void clear() {
        ids.clear();
    }

    /** The IDs, oldest first, as a new list. */
    List<Long> ids() {
        return List.copyOf(ids);
    }
}
