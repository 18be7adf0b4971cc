package brookpath.coordination.heartbeat;

import brookpath.coordination.message.PeerMessage.Heartbeat;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The promises that a member makes by answering a leader's heartbeats: for the detection time, it votes for no other
 * candidate in that group. Thread-safe: the listener thread makes the promise before it sends the answer, the state
 * thread raises the term before it votes, and each sees what the other did first.
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

    /**
     * Starts without promises.
     *
     * @param promiseMs how long an answer binds, in milliseconds
     */
    public HeartbeatPromises(final long promiseMs) {
        this.promiseMs = promiseMs;
    }

    private Promise of(final int group) {
        return groups.computeIfAbsent(group, k -> new Promise());
    }

    /**
     * Called by the listener thread: makes a promise for each group that the heartbeat's sender leads, and returns the
     * entries that the answer may carry.
     */
    synchronized List<HeartbeatEntry> answer(
            final int from, final Heartbeat heartbeat, final List<HeartbeatEntry> own, final long now) {
        for (final HeartbeatEntry e : heartbeat.entries()) {
            final Promise promise = of(e.group());
            // A leader of an earlier term than the one this member has voted in since does not bind it; the entry below
            // reports the later term
            if (e.role() == HeartbeatEntry.LEADER && e.term() >= promise.raised) {
                promise.leader = from;
                promise.heartbeat = heartbeat.id();
                promise.heardAt = now;
            } else if (promise.leader == from && heartbeat.id() > promise.heartbeat) {
                // The sender itself reports that it no longer leads the group; an older heartbeat that arrives late is
                // ignored
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

    /**
     * Called by the state thread just before it votes or becomes a candidate: raises the group's term. False if this
     * member is still bound to another leader; then nothing is changed.
     *
     * @param manual whether the leader itself has asked the candidate to take over, so that no promise prevents it
     * @param now by the steady clock, in milliseconds
     */
    public synchronized boolean raise(
            final int group, final long term, final int candidate, final boolean manual, final long now) {
        final Promise promise = of(group);
        // In a manual switchover, the old leader itself has stopped acting
        if (!manual && promise.leader != 0 && promise.leader != candidate && now - promise.heardAt <= promiseMs) {
            return false;
        }
        promise.raised = Math.max(promise.raised, term);
        return true;
    }
}
