package brookpath.coordination.node.gateway;

import brookpath.coordination.message.PeerMessage.TopicPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The topics of one group that a session reads together. It catches up by fetches of its own until it reaches the
 * position of the group's feed, and is live from then on.
 */
final class GroupSubscription {
    private static final long UNKNOWN_POSITION = -1;

    final int group;
    /** When the caller asked for it, in monotonic milliseconds. */
    final long startedAt;
    /** The deadline for a topic to begin, in monotonic milliseconds. */
    final long deadline;

    private final TreeMap<String, Long> positions = new TreeMap<>();
    /** Whether the records come through the group's feed. */
    boolean live;
    /** Whether the fetch in flight requests only the end of the log. */
    boolean resolvingEnd;
    /** The fetches in flight. */
    final OutstandingFetches fetches = new OutstandingFetches();
    /** The node that was fetched from last, and when. */
    int source;

    long fetchSentAt;
    /** The join request that waits for the topic's position; 0 for none. */
    long pendingJoin;

    GroupSubscription(final int group, final long pendingJoin, final long startedAt, final long deadline) {
        this.group = group;
        this.pendingJoin = pendingJoin;
        this.startedAt = startedAt;
        this.deadline = deadline;
    }

    /** @param start the position behind which reading begins; -1 for the log's end, which is not known yet */
    void include(final String topic, final long start) {
        positions.put(topic, start);
    }

    Set<String> topics() {
        return positions.keySet();
    }

    /** The only topic of a subscription that was joined by itself. */
    String topic() {
        return positions.firstKey();
    }

    /** The position of the only topic. */
    long position() {
        return positions.firstEntry().getValue();
    }

    long position(final String topic) {
        return positions.get(topic);
    }

    boolean knowsPositions() {
        return !positions.containsValue(UNKNOWN_POSITION);
    }

    /** Topics that were to begin at the log's end begin at this position. */
    void resolveEnd(final long end) {
        positions.replaceAll((topic, position) -> position == UNKNOWN_POSITION ? end : position);
    }

    /** Marks a record as delivered; true where it was not delivered before. */
    boolean advance(final String topic, final long position) {
        final Long reached = positions.get(topic);
        if (reached == null || position <= reached) {
            return false;
        }
        positions.put(topic, position);
        return true;
    }

    /** Advances all topics to the position, up to which nothing is missing. */
    void advanceAll(final long position) {
        positions.replaceAll((topic, reached) -> Math.max(reached, position));
    }

    /** The contents of a fetch: each topic with the position after which it is read. */
    List<TopicPosition> wanted() {
        final List<TopicPosition> wanted = new ArrayList<>();
        for (final Map.Entry<String, Long> entry : positions.entrySet()) {
            wanted.add(new TopicPosition(entry.getKey(), entry.getValue()));
        }
        return wanted;
    }
}
