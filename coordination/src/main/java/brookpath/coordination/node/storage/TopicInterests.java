package brookpath.coordination.node.storage;

import brookpath.coordination.message.PeerMessage.Fetch;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeMap;

/**
 * The topics, per group and gateway, that a gateway's long polls read. A gateway names them when they change, and
 * afterwards refers to them by their version.
 */
final class TopicInterests {
    private record TopicInterest(long version, Set<String> topics) {}

    private final TreeMap<Integer, TreeMap<Integer, TopicInterest>> byGroupAndGateway = new TreeMap<>();

    /**
     * Stores the topics that a long poll names, if any.
     *
     * @return whether the version that it refers to is known, so that it can be served
     */
    boolean update(final int gateway, final Fetch fetch) {
        final TreeMap<Integer, TopicInterest> byGateway =
                byGroupAndGateway.computeIfAbsent(fetch.group(), id -> new TreeMap<>());
        if (!fetch.topics().isEmpty()) {
            final Set<String> topics = new HashSet<>();
            fetch.topics().forEach(topic -> topics.add(topic.topic()));
            byGateway.put(gateway, new TopicInterest(fetch.edition(), topics));
        }
        final TopicInterest interest = byGateway.get(gateway);
        return interest != null && interest.version == fetch.edition();
    }

    /** The topics that the gateway's long polls of the group read. */
    Set<String> topics(final int group, final int gateway) {
        return byGroupAndGateway.get(group).get(gateway).topics;
    }

    void drop(final int group) {
        byGroupAndGateway.remove(group);
    }
}
