package brookpath.coordination.node.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The shared fetching of one group: each topic is fetched once, however many sessions listen. */
final class Feed {
    private static final long UNKNOWN_POSITION = -1;

    /** Who listens to a topic. */
    private static final class Listeners {
        int sessions;
        /** The sessions that get the topic through the feed already. */
        final TreeSet<Long> live = new TreeSet<>();
    }

    final int group;
    private final TreeMap<String, Listeners> byTopic = new TreeMap<>();
    /** The listener counts as last reported to the group's leader. */
    final ReportedListeners reported = new ReportedListeners();
    /** The version of the set of topics; it changes whenever the set does. */
    long topicsVersion;
    /** The position up to which the group's log was read; -1 before the first listener has caught up. */
    long position = UNKNOWN_POSITION;
    /** The fetches in flight, all for the present topics from the present position. */
    final OutstandingFetches fetches = new OutstandingFetches();
    /** The node that was fetched from last, and since when its reply is outstanding. */
    int source;

    long fetchSentAt;
    /** The node that the topics were sent to last; 0 where none knows them. */
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

    /** Counts the times that a listener was added or removed. */
    long changes() {
        return changes;
    }

    /** Adds a listener; true where the topic is new, so that a fetch in flight does not include it. */
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

    /** The sessions that listen, as a new list, for a session may end while records are delivered. */
    List<Long> liveSessions(final String topic) {
        final Listeners listeners = byTopic.get(topic);
        return listeners == null ? List.of() : new ArrayList<>(listeners.live);
    }

    Iterable<String> topics() {
        return byTopic.keySet();
    }

    /** The number of sessions that listen, per topic. */
    Map<String, Integer> listenerCounts() {
        final Map<String, Integer> counts = new HashMap<>();
        byTopic.forEach((topic, listeners) -> counts.put(topic, listeners.sessions));
        return counts;
    }
}
