package brookpath.coordination.node.storage;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.message.PeerMessage.Fetch;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The long polls, per group and gateway, that have found no record yet. A gateway has one per group at most. */
final class PendingFetches {
    /** @param deadline when it is answered even without a record, in monotonic milliseconds */
    record PendingFetch(int gateway, Fetch fetch, long deadline) {}

    private final TimingBounds timing;
    private final TreeMap<Integer, TreeMap<Integer, PendingFetch>> byGroupAndGateway = new TreeMap<>();

    PendingFetches(final TimingBounds timing) {
        this.timing = timing;
    }

    /**
     * Adds a fetch. If it replaces a pending one of the gateway by one for other topics, it takes over the deadline:
     * with a later reply the gateway would consider this node unresponsive.
     */
    void add(final int gateway, final Fetch fetch, final long now) {
        final TreeMap<Integer, PendingFetch> byGateway =
                byGroupAndGateway.computeIfAbsent(fetch.group(), id -> new TreeMap<>());
        final PendingFetch replaced = byGateway.get(gateway);
        final long deadline = replaced == null ? now + timing.longPollTimeout() : replaced.deadline;
        byGateway.put(gateway, new PendingFetch(gateway, fetch, deadline));
    }

    /** Removes the pending fetches of a group that were answered. */
    void removeAnswered(final int group, final Predicate<PendingFetch> answered) {
        final TreeMap<Integer, PendingFetch> byGateway = byGroupAndGateway.get(group);
        if (byGateway != null) {
            byGateway.values().removeIf(answered);
        }
    }

    void drop(final int group) {
        byGroupAndGateway.remove(group);
    }
}
