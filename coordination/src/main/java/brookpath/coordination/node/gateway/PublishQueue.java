package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.route.RouteFinder.Leader;
import java.util.Map;
import java.util.TreeMap;

/** The publishes under way to one group, in the order in which the callers sent them. */
final class PublishQueue {
    /** The back-off doubles up to this many times. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private final TreeMap<Long, ForwardedPublish> publishes = new TreeMap<>();
    private int hintedLeader;
    private long hintValidUntil;
    private long pausedUntil = Long.MIN_VALUE;
    private int consecutivePauses;

    /** The publishes by request ID, which rises with their order. */
    Map<Long, ForwardedPublish> publishes() {
        return publishes;
    }

    boolean isEmpty() {
        return publishes.isEmpty();
    }

    boolean isPaused(final long now) {
        return now < pausedUntil;
    }

    /** Whether a timer has something to do here. */
    boolean needsTimer() {
        final boolean backingOff = consecutivePauses > 0 && !publishes.isEmpty();
        return backingOff || publishes.values().stream().anyMatch(ForwardedPublish::isWaiting);
    }

    ForwardedPublish get(final long id) {
        return publishes.get(id);
    }

    void add(final long id, final ForwardedPublish publish) {
        publishes.put(id, publish);
    }

    void remove(final long id) {
        publishes.remove(id);
    }

    void pause(final TimingBounds timing, final long now) {
        pausedUntil = now + (timing.forwardRetryDelay() << Math.min(consecutivePauses, MAX_BACKOFF_DOUBLINGS));
        consecutivePauses++;
    }

    void resetBackoff() {
        consecutivePauses = 0;
    }

    /** Follows a refusal that named the leader, until the heartbeats say the same or something newer. */
    void followHint(final int leader, final long validUntil) {
        hintedLeader = leader;
        hintValidUntil = validUntil;
    }

    void dropHint() {
        hintedLeader = 0;
    }

    boolean isHinted(final int leader) {
        return hintedLeader == leader;
    }

    /** The hinted leader while the hint holds, else the one that the heartbeats name. */
    Leader leaderToUse(final Leader fromHeartbeats, final long now) {
        if (hintedLeader == 0 || now >= hintValidUntil || fromHeartbeats.node() == hintedLeader) {
            return fromHeartbeats;
        }
        // a term above all, so that what the heartbeats tell of the old leader does not turn the publishes back
        return new Leader(hintedLeader, Long.MAX_VALUE);
    }

    /**
     * Takes back the publish and those behind it that are with the node. They must not pass it, for a lower sequence
     * would then be refused for good.
     */
    void takeBackFrom(final long id, final int node) {
        for (final Map.Entry<Long, ForwardedPublish> entry :
                publishes.tailMap(id, true).entrySet()) {
            final ForwardedPublish publish = entry.getValue();
            if (!publish.isWith(node)) {
                continue;
            }
            if (entry.getKey() == id) {
                publish.endAttempt();
            } else {
                publish.endAttemptUncertain();
            }
        }
    }

    /** Takes back all that is with a node whose session broke; true where there was something. */
    boolean takeBackAll(final int node, final String reason) {
        boolean any = false;
        for (final ForwardedPublish publish : publishes.values()) {
            if (publish.isWith(node)) {
                publish.endAttemptUncertain();
                publish.failed(reason);
                any = true;
            }
        }
        return any;
    }
}
