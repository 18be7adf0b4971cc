package brookpath.coordination.group;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How far the group's replicas are known to be synced, as the leader counts it, and the commit rule. Not thread-safe:
 * the group's state thread owns it.
 */
final class ReplicaProgress {
    /** Nothing is known of the replica. */
    static final long UNKNOWN = -1;

    private final int self;
    private final GroupMembership membership;
    private final RaftLog log;
    private final TreeMap<Integer, Long> voters = new TreeMap<>();
    private final TreeMap<Integer, Long> learners = new TreeMap<>();

    ReplicaProgress(final int self, final GroupMembership membership, final RaftLog log) {
        this.self = self;
        this.membership = membership;
        this.log = log;
    }

    /** Forgets the progress of all voters. */
    void clearVoters() {
        voters.clear();
    }

    /** Forgets the progress of all replicas: a new leadership begins. */
    void clear() {
        voters.clear();
        learners.clear();
    }

    /** A voter has synced the leader's log up to the index. */
    void voterSynced(final int node, final long index) {
        voters.merge(node, index, Math::max);
    }

    /** A learner has synced the leader's log up to the index; {@link #UNKNOWN} where it may not become a voter. */
    void learnerSynced(final int node, final long index) {
        learners.put(node, index);
    }

    /** The node's replica does not count as a voter's. */
    void forgetVoter(final int node) {
        voters.remove(node);
    }

    /** The node's replica does not count, neither as a voter's nor as a learner's. */
    void forget(final int node) {
        voters.remove(node);
        learners.remove(node);
    }

    /** How far a voter's replica is known to be synced, else {@link #UNKNOWN}. */
    long ofVoter(final int node) {
        return node == self ? log.syncedIndex() : voters.getOrDefault(node, UNKNOWN);
    }

    /** How far a learner's replica is known to be synced, else {@link #UNKNOWN}. */
    long ofLearner(final int node) {
        return learners.getOrDefault(node, UNKNOWN);
    }

    /** How many voters are known to have synced the log up to the index. */
    int replicas(final long index) {
        int replicas = log.syncedIndex() >= index ? 1 : 0;
        for (final Map.Entry<Integer, Long> voter : voters.entrySet()) {
            replicas += voter.getValue() >= index && membership.isVoter(voter.getKey()) ? 1 : 0;
        }
        return replicas;
    }

    /** How many of these members, some of which may still be learners, have synced everything that is committed. */
    int replicasOfCommitted(final List<Member> members) {
        int replicas = 0;
        for (final Member member : members) {
            final int node = member.node();
            final boolean joins = node != self && !membership.isVoter(node);
            final long synced = joins ? ofLearner(node) : ofVoter(node);
            replicas += synced >= log.committedIndex() ? 1 : 0;
        }
        return replicas;
    }

    /**
     * The index up to which the leader of the term may commit the log; the committed index where it may not commit
     * more.
     *
     * @param needed how many voters must have synced it
     * @param openIndex the index at which the leader opened its term
     */
    long committable(final int needed, final long openIndex, final long term) {
        final long index = syncedByAtLeast(needed);
        // records of earlier terms are committed only together with a record of this one
        if (index > log.committedIndex() && index >= openIndex && log.termAt(index) == term) {
            return index;
        }
        return log.committedIndex();
    }

    /** The highest index up to which at least this many voters have synced the log. */
    private long syncedByAtLeast(final int needed) {
        final List<Member> members = membership.voters();
        final long[] synced = new long[members.size()];
        for (int i = 0; i < synced.length; i++) {
            synced[i] = Math.max(0, ofVoter(members.get(i).node()));
        }
        Arrays.sort(synced);
        return synced[synced.length - needed];
    }
}
