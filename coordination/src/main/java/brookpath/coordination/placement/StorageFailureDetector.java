package brookpath.coordination.placement;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.metadata.ClusterMetadata;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which storage nodes are considered lost, from the time of each node's last poll of the control leader. No
 * node is considered lost while half of them or more are silent, since this controller itself is then more likely to be
 * partitioned.
 */
public final class StorageFailureDetector {
    private final TimingBounds timing;
    private final ClusterMetadata metadata;
    private final Map<Integer, Long> heardAt;
    private final long now;

    /**
     * @param heardAt when each storage node polled last, in monotonic milliseconds; a node that has not polled this
     *     control leader is absent
     */
    public StorageFailureDetector(
            final TimingBounds timing,
            final ClusterMetadata metadata,
            final Map<Integer, Long> heardAt,
            final long now) {
        this.timing = timing;
        this.metadata = metadata;
        this.heardAt = heardAt;
        this.now = now;
    }

    /** The nodes that have polled recently enough to be given replicas. */
    public Set<Integer> alive() {
        final Set<Integer> alive = new HashSet<>();
        heardAt.forEach((node, at) -> {
            if (now - at <= timing.lostAfter()) {
                alive.add(node);
            }
        });
        return alive;
    }

    /**
     * The nodes that have replicas and are considered lost.
     *
     * @param leadingSince when this control leader began to lead; nodes that polled its predecessor need time to find
     *     it
     * @param lostBefore the nodes considered lost so far; they remain so until they poll
     */
    public Set<Integer> lost(final long leadingSince, final Set<Integer> lostBefore) {
        final Set<Integer> alive = alive();
        final Set<Integer> monitored = replicaHolders();
        monitored.addAll(alive);
        if (2 * alive.size() <= monitored.size()) {
            return Set.of();
        }
        final long listeningSince = leadingSince + timing.configurationDeadline();
        final boolean hasSpare = hasSpareNode(alive);
        final Set<Integer> lost = new TreeSet<>();
        for (final int node : replicaHolders()) {
            final long last = Math.max(heardAt.getOrDefault(node, listeningSince), listeningSince);
            final long bound = hasSpare || lostBefore.contains(node) ? timing.lostAfterWithSpare() : timing.lostAfter();
            if (now - last > bound) {
                lost.add(node);
            }
        }
        return lost;
    }

    private Set<Integer> replicaHolders() {
        final Set<Integer> replicaHolders = new HashSet<>();
        for (final ClusterMetadata.GroupInfo group : metadata.groups()) {
            group.members().forEach(m -> replicaHolders.add(m.node()));
            group.membership().learners().forEach(m -> replicaHolders.add(m.node()));
        }
        return replicaHolders;
    }

    /** Whether a live node has no replicas; such a spare node can receive replicas early at no cost. */
    private boolean hasSpareNode(final Set<Integer> alive) {
        final Set<Integer> replicaHolders = replicaHolders();
        return alive.stream()
                .anyMatch(
                        n -> !replicaHolders.contains(n) && !metadata.retiring().contains(n));
    }
}
