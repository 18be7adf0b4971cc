package brookpath.coordination.node.front;

import brookpath.coordination.Tempo;
import brookpath.coordination.route.RouteFinder.Master;
import java.util.Map;
import java.util.TreeMap;

/** The publishes under way to one group, in the order in which the callers sent them. */
final class PublishQueue {
    /** The back-off doubles up to this many times. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private final TreeMap<Long, ForwardedPublish> publishes = new TreeMap<>();
    private int hintedMaster;
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

    void pause(final Tempo tempo, final long now) {
        pausedUntil = now + (tempo.ferryPause() << Math.min(consecutivePauses, MAX_BACKOFF_DOUBLINGS));
        consecutivePauses++;
    }

    void resetBackoff() {
        consecutivePauses = 0;
    }

    /** Follows a refusal that named the master, until the heartbeats say the same or something newer. */
    void followHint(final int master, final long validUntil) {
        hintedMaster = master;
        hintValidUntil = validUntil;
    }

    void dropHint() {
        hintedMaster = 0;
    }

    boolean isHinted(final int master) {
        return hintedMaster == master;
    }

    /** The hinted master while the hint holds, else the one that the heartbeats name. */
    Master masterToUse(final Master fromHeartbeats, final long now) {
        if (hintedMaster == 0 || now >= hintValidUntil || fromHeartbeats.node() == hintedMaster) {
            return fromHeartbeats;
        }
        // an epoch above all, so that what the heartbeats tell of the old master does not turn the publishes back
        return new Master(hintedMaster, Long.MAX_VALUE);
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
    boolean takeBackAll(final int node, final String why) {
        boolean any = false;
        for (final ForwardedPublish publish : publishes.values()) {
            if (publish.isWith(node)) {
                publish.endAttemptUncertain();
                publish.failed(why);
                any = true;
            }
        }
        return any;
    }
}
