package brookpath.coordination.group;

import java.util.List;

/**
 * Whether a membership may follow the present one: one voter at a time, once the previous change is committed, and only
 * where no committed record depends on a replica that is removed. docs/design/control-membership.md has the reasons.
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

    /** Whether the newest membership is committed, so that the next change may follow. */
    boolean isSettled() {
        return membership.index() <= log.committedIndex();
    }

    /** Whether this leader may append a record with this membership now. */
    boolean isAllowed(final Membership next, final long now) {
        // mayAct implies a committed record of this term, without which a change by an earlier leader may still be
        // pending
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
        // committed records must not depend on the replica of the voter that is removed
        return progress.replicasOfCommitted(next.voters())
                        >= Quorums.floor(next.voters().size(), toleratedLosses)
                && lease.held(next.voters(), now);
    }
}
