package brookpath.coordination.node.gateway;

import brookpath.coordination.message.PeerMessage.TopicPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The topics of one group that a session reads together. A subscription catches up by fetches of its own until it
 * reaches the position of the group's feed, and is live from then on.
 */
final class GroupSubscription {
    private static final long UNKNOWN_POSITION = -1;

    final int group;
    /** When the caller requested the subscription, in monotonic milliseconds. */
    final long startedAt;
    /** The deadline for the topics to start, in monotonic milliseconds. */
    final long deadline;

    private final TreeMap<String, Long> positions = new TreeMap<>();
    /** Whether the session gets the records through the group's feed. */
    boolean live;
    /** Whether it continues to catch up only once the session's connection has taken what was delivered. */
    boolean waitsForFlush;
    /** Whether the fetch in flight requests only the end of the log. */
    boolean resolvingEnd;
    /** The fetches in flight. */
    final OutstandingFetches fetches = new OutstandingFetches();
    /** The node that the last fetch was sent to, and when. */
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

    /** @param start the position after which reading begins; -1 for the end of the log, which is not known yet */
    void include(final String topic, final long start) {
        positions.put(topic, start);
    }

    Set<String> topics() {
        return positions.keySet();
    }

    /** The only topic of a subscription that a join created. */
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

    /** Sets the position of the topics that begin at the end of the log. */
    void resolveEnd(final long end) {
        positions.replaceAll((topic, position) -> position == UNKNOWN_POSITION ? end : position);
    }

    /** Advances a topic to a record that is delivered; false where the record was delivered before. */
    boolean advance(final String topic, final long position) {
        final Long reached = positions.get(topic);
        if (reached == null || position <= reached) {
            return false;
        }
        positions.put(topic, position);
        return true;
    }

    /** Advances all topics to the position, up to which all records have been delivered. */
    void advanceAll(final long position) {
        positions.replaceAll((topic, reached) -> Math.max(reached, position));
    }

    /** The join request that waits for the topic's position, which the caller answers now; 0 for none. */
    long takePendingJoin() {
        final long requestId = pendingJoin;
        pendingJoin = 0;
        return requestId;
    }

    /** The topics to fetch, each with the position after which it is read. */
    List<TopicPosition> wanted() {
        final List<TopicPosition> wanted = new ArrayList<>();
        for (final Map.Entry<String, Long> entry : positions.entrySet()) {
            wanted.add(new TopicPosition(entry.getKey(), entry.getValue()));
        }
        return wanted;
    }
}
