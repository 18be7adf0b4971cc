package brookpath.coordination.node.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A caller's session and its subscriptions. */
final class Session {
    static final long NEVER = Long.MAX_VALUE;

    final long id;
    final String key;
    /**
     * Whether all topics are given at the start, have one shared cursor and are streamed as lines; else topics are
     * joined and left one by one, and each has its own cursor.
     */
    final boolean sharedCursor;

    /** The deadline for the session to start, in monotonic milliseconds. */
    final long deadline;

    private final TreeMap<String, GroupSubscription> byTopic = new TreeMap<>();
    /** Paces what is delivered to catch up. */
    final CatchUpWindow catchUpWindow = new CatchUpWindow();

    boolean started;
    long lastLineAt;
    /** When the session is moved to another node, in monotonic milliseconds. */
    long moveAt = NEVER;

    Session(final long id, final String key, final boolean sharedCursor, final long deadline) {
        this.id = id;
        this.key = key;
        this.sharedCursor = sharedCursor;
        this.deadline = deadline;
    }

    void add(final GroupSubscription subscription) {
        subscription.topics().forEach(topic -> byTopic.put(topic, subscription));
    }

    void remove(final GroupSubscription subscription) {
        subscription.topics().forEach(byTopic::remove);
    }

    /** The subscription that the topic belongs to; null where the session does not listen to it. */
    GroupSubscription subscription(final String topic) {
        return byTopic.get(topic);
    }

    int topicCount() {
        return byTopic.size();
    }

    /** The subscriptions as a new list, each once. */
    List<GroupSubscription> subscriptions() {
        final List<GroupSubscription> subscriptions = new ArrayList<>();
        for (final GroupSubscription subscription : byTopic.values()) {
            // a linear search suffices for the few there are; the topics of one group need not be adjacent
            if (!subscriptions.contains(subscription)) {
                subscriptions.add(subscription);
            }
        }
        return subscriptions;
    }

    boolean isLive() {
        return byTopic.values().stream().allMatch(subscription -> subscription.live);
    }

    boolean knowsPositions() {
        return byTopic.values().stream().allMatch(GroupSubscription::knowsPositions);
    }

    /** The position of each topic, for the shared cursor. */
    Map<String, Long> positions() {
        final TreeMap<String, Long> positions = new TreeMap<>();
        byTopic.forEach((topic, subscription) -> positions.put(topic, subscription.position(topic)));
        return positions;
    }
}
