package brookpath.coordination.placement;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.metadata.ClusterMetadata;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Judges which storage nodes are lost, from when the control leader heard each of them last. It judges nothing while
 * most of them are silent, for then it is more likely cut off itself.
 */
public final class StorageFailureDetector {
    private final TimingBounds timing;
    private final ClusterMetadata metadata;
    private final Map<Integer, Long> heardAt;
    private final long now;

    /** @param heardAt when each storage machine polled last; one that has not polled this control leader is missing */
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

    /** The machines heard lately enough to be given copies. */
    public Set<Integer> alive() {
        final Set<Integer> alive = new HashSet<>();
        heardAt.forEach((node, at) -> {
            if (now - at <= timing.goneAfter()) {
                alive.add(node);
            }
        });
        return alive;
    }

    /**
     * The machines that hold copies and are to be taken for lost.
     *
     * @param leadingSince since when this control leader has led; whoever polled its predecessor needs time to find it
     * @param lostBefore those taken for lost so far: they stay so until they are heard
     */
    public Set<Integer> lost(final long leadingSince, final Set<Integer> lostBefore) {
        final Set<Integer> alive = alive();
        final Set<Integer> judged = holders();
        judged.addAll(alive);
        if (2 * alive.size() <= judged.size()) {
            return Set.of();
        }
        final long listeningSince = leadingSince + timing.configurationDeadline();
        final boolean early = anyEmpty(alive);
        final Set<Integer> lost = new TreeSet<>();
        for (final int node : holders()) {
            final long last = Math.max(heardAt.getOrDefault(node, listeningSince), listeningSince);
            final long bound = early || lostBefore.contains(node) ? timing.replacedAfter() : timing.goneAfter();
            if (now - last > bound) {
                lost.add(node);
            }
        }
        return lost;
    }

    private Set<Integer> holders() {
        final Set<Integer> holders = new HashSet<>();
        for (final ClusterMetadata.GroupInfo group : metadata.groups()) {
            group.members().forEach(m -> holders.add(m.node()));
            group.membership().learners().forEach(m -> holders.add(m.node()));
        }
        return holders;
    }

    /** Whether a live machine waits for copies: with one at hand, nothing is lost by filling it early. */
    private boolean anyEmpty(final Set<Integer> alive) {
        final Set<Integer> holders = holders();
        return alive.stream()
                .anyMatch(n -> !holders.contains(n) && !metadata.retiring().contains(n));
    }
}
