package brookpath.coordination.node.gateway;

import brookpath.coordination.message.PeerMessage.TopicCount;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The listener counts of a group as last reported to its leader. */
final class ReportedListeners {
    /** The version of the reported counts. */
    private long version;

    private int leader;
    private long sentAt;
    private Map<String, Integer> counts = Map.of();
    private long changes;

    /** The version of the counts that the node already has, to which a report adds changes; 0 where it has none. */
    long baseFor(final int node) {
        return leader == node ? version : 0;
    }

    long version() {
        return version;
    }

    boolean isCurrent(final int node, final long changesNow) {
        return leader == node && changes == changesNow;
    }

    boolean sentWithin(final long period, final long now) {
        return now - sentAt < period;
    }

    void sent(final long now) {
        sentAt = now;
    }

    /** Records the counts that are reported to a leader next. */
    void replace(final int node, final Map<String, Integer> newCounts, final long changesNow, final long newVersion) {
        version = newVersion;
        leader = node;
        counts = newCounts;
        changes = changesNow;
    }

    /** Makes the next report a complete one, since the leader may not have received the last one. */
    void forget() {
        leader = 0;
    }

    void forget(final int node) {
        if (leader == node) {
            leader = 0;
        }
    }

    /** The topics whose counts differ from the base version; all topics where there is none. */
    List<TopicCount> changedSince(final long base, final Map<String, Integer> newCounts) {
        final Map<String, Integer> before = base == 0 ? Map.of() : counts;
        final List<TopicCount> changed = new ArrayList<>();
        newCounts.forEach((topic, count) -> {
            if (!count.equals(before.get(topic))) {
                changed.add(new TopicCount(topic, count));
            }
        });
        before.keySet().stream()
                .filter(topic -> !newCounts.containsKey(topic))
                .forEach(topic -> changed.add(new TopicCount(topic, 0)));
        return changed;
    }
}
