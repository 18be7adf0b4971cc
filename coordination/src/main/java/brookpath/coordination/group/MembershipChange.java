package brookpath.coordination.group;

import java.util.List;

/**
 * Whether a membership may follow the present one: one voter at a time, once the step before is committed, and only
 * while nothing committed rests on a replica that leaves. docs/design/control-membership.md has the reasons.
 */
final class MembershipChange {
    private final int self;
    private final int toleratedLosses;
    private final GroupMembership membership;
    private final RaftLog log;
    private final LeaderLease lease;
    private final ReplicaProgress progress;

    MembershipChange(
            final int self,
            final int toleratedLosses,
            final GroupMembership membership,
            final RaftLog log,
            final LeaderLease lease,
            final ReplicaProgress progress) {
        this.self = self;
        this.toleratedLosses = toleratedLosses;
        this.membership = membership;
        this.log = log;
        this.lease = lease;
        this.progress = progress;
    }

    /** Whether the newest membership is committed, so that a next step may follow. */
    boolean isSettled() {
        return membership.index() <= log.committedIndex();
    }

    /** Whether this leader may append the membership now. */
    boolean isAllowed(final Membership next, final long now) {
        // why: mayAct stands for a committed record of this term, without which a predecessor's change may be open
        if (!lease.mayAct(now) || !isSettled() || next.version() != membership.version() + 1) {
            return false;
        }
        final List<Member> joining = Membership.missing(next.voters(), membership.voters());
        final List<Member> leaving = Membership.missing(membership.voters(), next.voters());
        if (joining.size() + leaving.size() > 1 || Membership.find(next.voters(), self) == null) {
            return false;
        }
        if (joining.stream().anyMatch(m -> progress.ofLearner(m.node()) < log.committedIndex())) {
            return false;
        }
        // why: what is committed must not rest on the replica of the one that leaves
        return progress.replicasOfCommitted(next.voters())
                        >= Quorums.floor(next.voters().size(), toleratedLosses)
                && lease.held(next.voters(), now);
    }
}
