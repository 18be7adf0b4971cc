package brookpath.coordination.node.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The state of the fetches that all sessions share for one group: each topic is fetched once, for all its listeners.
 */
final class Feed {
    private static final long UNKNOWN_POSITION = -1;

    /** The sessions that listen to a topic. */
    private static final class Listeners {
        int sessions;
        /** The sessions that already get the topic through the feed. */
        final TreeSet<Long> live = new TreeSet<>();
    }

    final int group;
    private final TreeMap<String, Listeners> byTopic = new TreeMap<>();
    /** The listener counts as last reported to the group's leader. */
    final ReportedListeners reported = new ReportedListeners();
    /** The version of the set of topics; a new one is assigned whenever the set changes. */
    long topicsVersion;
    /** The position up to which the group's log has been read; -1 before the first listener has caught up. */
    long position = UNKNOWN_POSITION;
    /** The fetches in flight, all for the current topics from the current position. */
    final OutstandingFetches fetches = new OutstandingFetches();
    /** The node that the last fetch was sent to, and since when its reply is outstanding. */
    int source;

    long fetchSentAt;
    /** The node that last received the set of topics; 0 where none knows it. */
    int topicsKnownBy;

    long sentTopicsVersion;
    private long changes;

    Feed(final int group) {
        this.group = group;
    }

    boolean hasPosition() {
        return position >= 0;
    }

    boolean hasNoListener() {
        return byTopic.isEmpty();
    }

    /** How many times a listener was added or removed. */
    long changes() {
        return changes;
    }

    /** Adds a listener; true where the topic is new, so that the fetches in flight do not include it. */
    boolean add(final String topic) {
        changes++;
        final Listeners listeners = byTopic.computeIfAbsent(topic, k -> new Listeners());
        listeners.sessions++;
        return listeners.sessions == 1;
    }

    /** Removes a listener; true where the topic has none left. */
    boolean remove(final String topic, final long session) {
        changes++;
        final Listeners listeners = byTopic.get(topic);
        listeners.live.remove(session);
        listeners.sessions--;
        if (listeners.sessions == 0) {
            byTopic.remove(topic);
            return true;
        }
        return false;
    }

    void addLive(final String topic, final long session) {
        byTopic.get(topic).live.add(session);
    }

    /** The live sessions of the topic, as a new list, since a session may end while records are delivered. */
    List<Long> liveSessions(final String topic) {
        final Listeners listeners = byTopic.get(topic);
        return listeners == null ? List.of() : new ArrayList<>(listeners.live);
    }

    Iterable<String> topics() {
        return byTopic.keySet();
    }

    /** The number of sessions that listen to each topic. */
    Map<String, Integer> listenerCounts() {
        final Map<String, Integer> counts = new HashMap<>();
        byTopic.forEach((topic, listeners) -> counts.put(topic, listeners.sessions));
        return counts;
    }
}
