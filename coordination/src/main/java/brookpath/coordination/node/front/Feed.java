package brookpath.coordination.node.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The shared reading of one group: each topic is fetched once, however many sessions listen. */
final class Feed {
    /** Who listens to a topic: how many in all, and which sessions get it through the feed already. */
    private static final class Interest {
        int sessions;
        final TreeSet<Long> live = new TreeSet<>();
    }

    final int group;
    private final TreeMap<String, Interest> interests = new TreeMap<>();
    /** Of the set of topics; another one whenever it changes. */
    long edition;

    long at = -1;
    long fetchId;
    int source;
    long sentAt;
    /** The edition that the source was told last. */
    int toldSource;

    long toldEdition;
    /** Listener counts as the master was told them. */
    long countsEdition;

    int countsToldTo;
    long countsToldAt;
    Map<String, Integer> countsTold = Map.of();
    long countsToldChanges;
    /** How often a listener has come or gone. */
    long changes;

    Feed(final int group) {
        this.group = group;
    }

    boolean idle() {
        return interests.isEmpty();
    }

    /** True where the topic is a new one, so that a fetch under way does not look for it. */
    boolean add(final String topic) {
        changes++;
        return interests.computeIfAbsent(topic, k -> new Interest()).sessions++ == 0;
    }

    /** True where nobody listens to the topic any more. */
    boolean remove(final String topic, final long session) {
        changes++;
        final Interest i = interests.get(topic);
        i.live.remove(session);
        if (--i.sessions == 0) {
            interests.remove(topic);
            return true;
        }
        return false;
    }

    void live(final String topic, final long session) {
        interests.get(topic).live.add(session);
    }

    /** A copy, for a session may end while its records are handed out. */
    List<Long> live(final String topic) {
        final Interest i = interests.get(topic);
        return i == null ? List.of() : new ArrayList<>(i.live);
    }

    Iterable<String> topics() {
        return interests.keySet();
    }

    Map<String, Integer> counts() {
        final Map<String, Integer> counts = new HashMap<>();
        interests.forEach((topic, i) -> counts.put(topic, i.sessions));
        return counts;
    }
}
