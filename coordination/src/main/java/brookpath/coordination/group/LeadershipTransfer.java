package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.TimeoutNow;

/**
 * Transfers the leadership to a voter that has the complete log: at an operator's request, where the leader is about to
 * leave, and where its disk completes no writes. Not thread-safe: the group's state thread owns it.
 */
final class LeadershipTransfer {
    private final int group;
    private final int self;
    private final TimingBounds timing;
    private final RoleState roleState;
    private final GroupMembership membership;
    private final VoteStore voteStore;
    private final RaftLog log;
    private final PeerView peers;
    private final LeaderLease lease;
    private final ReplicaProgress progress;
    private final LeaderElection election;
    private final Actions out;

    LeadershipTransfer(
            final int group,
            final int self,
            final TimingBounds timing,
            final RoleState roleState,
            final GroupMembership membership,
            final VoteStore voteStore,
            final RaftLog log,
            final PeerView peers,
            final LeaderLease lease,
            final ReplicaProgress progress,
            final LeaderElection election,
            final Actions out) {
        this.group = group;
        this.self = self;
        this.timing = timing;
        this.roleState = roleState;
        this.membership = membership;
        this.voteStore = voteStore;
        this.log = log;
        this.peers = peers;
        this.lease = lease;
        this.progress = progress;
        this.election = election;
        this.out = out;
    }

    /**
     * Asks a voter that has the complete log to take over; this leader does not act until that has succeeded or timed
     * out.
     *
     * @return false, and nothing is done, where this member may not act as the leader or the voter lacks records
     */
    boolean transferTo(final int node, final long now) {
        if (!lease.mayAct(now)
                || node == self
                || !membership.isVoter(node)
                || progress.ofVoter(node) < log.endIndex()) {
            return false;
        }
        lease.transfer(now);
        roleState.explain("transfers the leadership to " + node);
        out.send(node, new TimeoutNow(group, voteStore.term()));
        return true;
    }

    /** Transfers the leadership to the first voter that can take over, unless a transfer is in progress. */
    private void transferToAny(final long now) {
        if (lease.transferring(now)) {
            return;
        }
        for (final Member voter : membership.voters()) {
            if (transferTo(voter.node(), now)) {
                return;
            }
        }
    }

    /**
     * This member is about to leave: it no longer stands for election, and transfers its leadership. True once it is
     * not the leader.
     */
    boolean withdraw(final long now) {
        election.withdraw();
        if (roleState.isLeader()) {
            transferToAny(now);
        }
        return !roleState.isLeader();
    }

    /** A leader whose disk completes no writes transfers to a voter with the complete log, if there is one. */
    void transferIfDiskStalls(final long now) {
        // without a majority among the others none of them can win, so this leader continues
        final boolean othersCanElect = peers.active(membership.voters(), now) >= membership.majority();
        if (election.diskLag(now) > timing.diskStallTimeout() && othersCanElect) {
            transferToAny(now);
        }
    }
}
