package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.route.RouteFinder.Leader;
import java.util.Map;
import java.util.TreeMap;

/** The publishes in flight to one group, in the order in which the callers sent them. */
final class PublishQueue {
    /** The back-off doubles up to this many times. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private final TreeMap<Long, ForwardedPublish> publishes = new TreeMap<>();
    private int hintedLeader;
    private long hintValidUntil;
    private long pausedUntil = Long.MIN_VALUE;
    private int consecutivePauses;

    /** The publishes by request ID; the IDs ascend in the order of the publishes. */
    Map<Long, ForwardedPublish> publishes() {
        return publishes;
    }

    boolean isEmpty() {
        return publishes.isEmpty();
    }

    boolean isPaused(final long now) {
        return now < pausedUntil;
    }

    /** Whether a publish waits for a timer. */
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

    /** Sends to the leader that a refusal named, until the heartbeats name it as well or the hint expires. */
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

    /** The hinted leader while the hint is valid, else the leader according to the heartbeats. */
    Leader leaderToUse(final Leader fromHeartbeats, final long now) {
        if (hintedLeader == 0 || now >= hintValidUntil || fromHeartbeats.node() == hintedLeader) {
            return fromHeartbeats;
        }
        // the highest term, so that heartbeats that still name the old leader do not send the publishes back to it
        return new Leader(hintedLeader, Long.MAX_VALUE);
    }

    /**
     * Ends the attempts of the publish and of all later ones that are in flight to the node. The later ones must not
     * overtake it, since its lower sequence would then be refused permanently.
     */
    void endAttemptsFrom(final long id, final int node) {
        for (final Map.Entry<Long, ForwardedPublish> entry :
                publishes.tailMap(id, true).entrySet()) {
            final ForwardedPublish publish = entry.getValue();
            if (!publish.isSentTo(node)) {
                continue;
            }
            if (entry.getKey() == id) {
                publish.endAttempt();
            } else {
                publish.endAttemptUncertain();
            }
        }
    }

    /** Ends all attempts in flight to a node whose connection broke; true where there was one. */
    boolean endAllAttempts(final int node, final String reason) {
        boolean any = false;
        for (final ForwardedPublish publish : publishes.values()) {
            if (publish.isSentTo(node)) {
                publish.endAttemptUncertain();
                publish.failed(reason);
                any = true;
            }
        }
        return any;
    }
}
