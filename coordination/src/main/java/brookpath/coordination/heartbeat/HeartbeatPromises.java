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
    private final long down;

    public HeartbeatPromises(final long down) {
        this.down = down;
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
            final Promise p = of(e.group());
            // why: a leadership older than what was voted for since binds nobody, and the entry below says so
            if (e.role() == HeartbeatEntry.LEADER && e.term() >= p.raised) {
                p.leader = from;
                p.heartbeat = heartbeat.id();
                p.heardAt = now;
            } else if (p.leader == from && heartbeat.id() > p.heartbeat) {
                // why: it says itself that it leaders the group no more; an older heartbeat that came late says nothing
                p.leader = 0;
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
        final Promise p = of(group);
        // why: in a manual switchover the old leader has said itself that it acts no more
        if (!manual && p.leader != 0 && p.leader != candidate && now - p.heardAt <= down) {
            return false;
        }
        p.raised = Math.max(p.raised, term);
        return true;
    }
}
