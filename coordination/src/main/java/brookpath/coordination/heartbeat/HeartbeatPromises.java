package brookpath.coordination.heartbeat;

import brookpath.coordination.message.PeerMessage.Heartbeat;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What answering a leader's heartbeat binds this member to: for the detection time it helps nobody else into that
 * leadership. The listener thread promises before the answer leaves, the state thread raises the term before it votes,
 * and each sees what the other did first; nothing else is shared by the two.
 */
public final class HeartbeatPromises {
    private static final class Promise {
        int leader;
        long heartbeat;
        long heardAt = Long.MIN_VALUE / 2;
        long raised;
    }

    private final Map<Integer, Promise> groups = new HashMap<>();
    /** How long an answer binds, in milliseconds. */
    private final long promiseMs;

    public HeartbeatPromises(final long promiseMs) {
        this.promiseMs = promiseMs;
    }

    private Promise of(final int group) {
        return groups.computeIfAbsent(group, k -> new Promise());
    }

    /**
     * The listener's part: promises to the leaders that the heartbeat tells of, and gives back the entries that the
     * answer may carry.
     */
    synchronized List<HeartbeatEntry> answer(
            final int from, final Heartbeat heartbeat, final List<HeartbeatEntry> own, final long now) {
        for (final HeartbeatEntry e : heartbeat.entries()) {
            final Promise promise = of(e.group());
            // why: a leadership older than what was voted for since binds nobody, and the entry below says so
            if (e.role() == HeartbeatEntry.LEADER && e.term() >= promise.raised) {
                promise.leader = from;
                promise.heartbeat = heartbeat.id();
                promise.heardAt = now;
            } else if (promise.leader == from && heartbeat.id() > promise.heartbeat) {
                // why: it says itself that it leads the group no more; an older heartbeat that came late says nothing
                promise.leader = 0;
            }
        }
        final List<HeartbeatEntry> list = new ArrayList<>(own.size());
        for (final HeartbeatEntry e : own) {
            final long raised = of(e.group()).raised;
            list.add(e.term() >= raised ? e : e.raised(raised));
        }
        return list;
    }

    /** The voter's part, right before it votes or stands: false where this member is still bound to another leader. */
    public synchronized boolean raise(
            final int group, final long term, final int candidate, final boolean manual, final long now) {
        final Promise promise = of(group);
        // why: in a manual switchover the old leader has said itself that it acts no more
        if (!manual && promise.leader != 0 && promise.leader != candidate && now - promise.heardAt <= promiseMs) {
            return false;
        }
        promise.raised = Math.max(promise.raised, term);
        return true;
    }
}
