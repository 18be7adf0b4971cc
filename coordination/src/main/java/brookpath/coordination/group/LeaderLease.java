package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.List;

/**
 * The lease under which a leader acts: a majority has answered a heartbeat that this leader sent in its term, within
 * the length of the lease, and each voter that answered votes for no other candidate for longer than that. Times are of
 * the steady clock, in milliseconds. Not thread-safe: the group's state thread owns it.
 */
final class LeaderLease {
    private static final long NEVER = Long.MIN_VALUE;

    private final int group;
    private final int self;
    private final TimingBounds timing;
    private final RoleState roleState;
    private final GroupMembership membership;
    private final VoteStore voteStore;
    private final RaftLog log;
    private final PeerView peers;
    private long transferringUntil = NEVER;

    LeaderLease(
            final int group,
            final int self,
            final TimingBounds timing,
            final RoleState roleState,
            final GroupMembership membership,
            final VoteStore voteStore,
            final RaftLog log,
            final PeerView peers) {
        this.group = group;
        this.self = self;
        this.timing = timing;
        this.roleState = roleState;
        this.membership = membership;
        this.voteStore = voteStore;
        this.log = log;
        this.peers = peers;
    }

    /**
     * Whether this member may act as the leader now: it has committed the record that opened its term, holds the lease
     * and is not transferring the leadership.
     */
    boolean mayAct(final long now) {
        return roleState.isLeader()
                && roleState.openIndex() > 0
                && log.committedIndex() >= roleState.openIndex()
                && held(now)
                && !transferring(now);
    }

    /** Whether the group's voters grant the lease now. */
    boolean held(final long now) {
        return held(membership.voters(), now);
    }

    /** Whether these voters would grant the lease now. */
    boolean held(final List<Member> voters, final long now) {
        return majoritySince(voters, now - timing.leaderLease());
    }

    /** Whether a majority has answered heartbeats that this leader sent in its term, at this time or later. */
    boolean majoritySince(final long since) {
        return majoritySince(membership.voters(), since);
    }

    private boolean majoritySince(final List<Member> voters, final long since) {
        int answered = 1;
        for (final Member voter : voters) {
            answered += voter.node() != self && answeredSince(voter.node(), since) ? 1 : 0;
        }
        return answered >= Quorums.majority(voters.size());
    }

    /** Whether the node has answered a heartbeat that this leader sent in its term, within the length of the lease. */
    boolean answered(final int node, final long now) {
        return answeredSince(node, now - timing.leaderLease());
    }

    private boolean answeredSince(final int node, final long since) {
        final HeartbeatTable.Row row = peers.row(node);
        if (row == null || row.answeredSentAt() < since) {
            return false;
        }
        final HeartbeatEntry sent = row.answeredOwn().get(group);
        final HeartbeatEntry theirs = row.entries().get(group);
        // only a heartbeat that was sent as the leader of this term binds the voter that answered it, and not one with
        // a lost replica or in a later term
        return sent != null
                && sent.role() == GroupRole.LEADER.code()
                && sent.term() == voteStore.term()
                && theirs != null
                && theirs.sync() != SyncState.LOST.code()
                && theirs.term() <= voteStore.term();
    }

    /** Whether a majority answers heartbeats at all; where not, the leader steps down. */
    boolean majorityAnswers(final long now) {
        int answering = 1;
        for (final Member voter : membership.voters()) {
            answering += voter.node() != self && answeredRecently(voter.node(), now) ? 1 : 0;
        }
        return answering >= membership.majority();
    }

    private boolean answeredRecently(final int node, final long now) {
        return peers.up(node) && now - peers.row(node).answeredSentAt() <= 2 * timing.detectionTime();
    }

    /** Another member is asked to take over; this leader does not act until that has succeeded or timed out. */
    void transfer(final long now) {
        // the voters elect the other without waiting for this lease to end
        transferringUntil = now + timing.detectionTime() + timing.voteDeadline();
    }

    /** Whether another member was asked to take over, and may still win the election. */
    boolean transferring(final long now) {
        return now < transferringUntil;
    }

    /** Forgets a transfer of an earlier leadership. */
    void reset() {
        transferringUntil = NEVER;
    }
}
