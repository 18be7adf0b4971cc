package brookpath.coordination.node.gateway;

import brookpath.coordination.message.PeerMessage.TopicPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Topics of one group that a session reads together. It catches up by fetches of its own until it meets the group's
 * feed, and is live from then on.
 */
final class GroupSubscription {
    private static final long UNKNOWN_POSITION = -1;

    final int group;
    /** When a topic that has not begun is given up, on the monotonic clock in milliseconds. */
    final long deadline;

    private final TreeMap<String, Long> positions = new TreeMap<>();
    /** Whether the records come through the group's feed. */
    boolean live;
    /** Whether the fetch under way asks only where the log ends. */
    boolean resolvingEnd;
    /** The fetch under way; 0 for none. */
    long fetchId;
    /** The node that was asked last, and when. */
    int source;

    long fetchSentAt;
    /** The join request that waits for the topic's position; 0 for none. */
    long pendingJoin;

    GroupSubscription(final int group, final long pendingJoin, final long deadline) {
        this.group = group;
        this.pendingJoin = pendingJoin;
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

    /** Whether a record was not delivered yet; notes that it is now. */
    boolean advance(final String topic, final long position) {
        final Long reached = positions.get(topic);
        if (reached == null || position <= reached) {
            return false;
        }
        positions.put(topic, position);
        return true;
    }

    /** Nothing up to the position is missing any more, of any topic. */
    void advanceAll(final long position) {
        positions.replaceAll((topic, reached) -> Math.max(reached, position));
    }

    /** What a fetch asks for: each topic from its position on. */
    List<TopicPosition> wanted() {
        final List<TopicPosition> wanted = new ArrayList<>();
        for (final Map.Entry<String, Long> entry : positions.entrySet()) {
            wanted.add(new TopicPosition(entry.getKey(), entry.getValue()));
        }
        return wanted;
    }
}
