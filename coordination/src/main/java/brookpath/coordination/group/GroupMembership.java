package brookpath.coordination.group;

import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.Pull;
import brookpath.coordination.message.PeerMessage.PullReply;
import brookpath.coordination.message.PeerMessage.VoteRequest;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.List;

/**
 * The members of a group as this member knows them. The newest membership in the log is in effect as soon as it is
 * appended, committed or not; without one, the membership from the placement is. Not thread-safe: the group's state
 * thread owns it.
 */
final class GroupMembership {
    /** The weight of a node that is no voter. */
    static final int NO_VOTER = -1;

    private final int self;
    private Membership placed = Membership.NONE;
    private Membership current = Membership.NONE;
    private long index;

    GroupMembership(final int self) {
        this.self = self;
    }

    /** Sets the membership that the placement gives; {@link #refresh} decides whether it takes effect. */
    void place(final Membership newPlaced) {
        placed = newPlaced;
    }

    /** Adopts the newest membership of the log or the placement. */
    void refresh(final RaftLog log) {
        current = log.baseMembership() != null ? log.baseMembership() : placed;
        index = 0;
        final LogRecord newest = log.newestMembershipRecord();
        if (newest != null) {
            current = Membership.load(PackedBuffer.reader(newest.body()));
            index = newest.index();
        }
        // a placement holds committed memberships only, so a newer one takes precedence over a log that is behind
        if (placed.version() > current.version()) {
            current = placed;
            index = 0;
        }
    }

    /** The membership in effect. */
    Membership current() {
        return current;
    }

    /** The index of that membership's record, 0 where the log does not hold it. */
    long index() {
        return index;
    }

    /** The version of the membership in effect; each change increments it. */
    int version() {
        return current.version();
    }

    /** The voters. */
    List<Member> voters() {
        return current.voters();
    }

    /** Whether the node is a voter or a learner. */
    boolean holds(final int node) {
        return current.holds(node);
    }

    /** Whether this member is a voter or a learner. */
    boolean holdsSelf() {
        return holds(self);
    }

    /** Whether the node is a voter. */
    boolean isVoter(final int node) {
        return weight(node) >= 0;
    }

    /** Whether this member is a voter. */
    boolean selfIsVoter() {
        return isVoter(self);
    }

    /** Whether the node is a learner, which replicates the log without a vote. */
    boolean isLearner(final int node) {
        return Membership.find(current.learners(), node) != null;
    }

    /**
     * Whether this member handles the message. Its membership may be older or newer than the sender's: a candidate is
     * judged by its term and log alone, and counts the vote by its own membership; a leader is recognised by its term.
     */
    boolean concerns(final int from, final PeerMessage message) {
        if (message instanceof PullReply) {
            return true;
        }
        if (message instanceof VoteRequest) {
            return holdsSelf();
        }
        return selfIsVoter() && (isVoter(from) || (message instanceof Pull && isLearner(from)));
    }

    /** A voter's rank in elections, {@link #NO_VOTER} for any other node. */
    int weight(final int node) {
        for (final Member member : current.voters()) {
            if (member.node() == node) {
                return member.weight();
            }
        }
        return NO_VOTER;
    }

    /** Whether the first of two voters takes precedence over the second in an election where their logs are equal. */
    boolean outranks(final int one, final int other) {
        final int weightOfOne = weight(one);
        final int weightOfOther = weight(other);
        return weightOfOne > weightOfOther || (weightOfOne == weightOfOther && one > other);
    }

    /** The smallest number of voters that is a majority. */
    int majority() {
        return Quorums.majority(current.voters().size());
    }

    /** The minimum number of replicas that hold a committed record. */
    int floor(final int toleratedLosses) {
        return Quorums.floor(current.voters().size(), toleratedLosses);
    }
}
