package brookpath.coordination.group;

/**
 * Owns a member's role in its group: follower, candidate or leader, and which member it considers the leader. Each
 * transition records its reason. Not thread-safe: the group's state thread owns it.
 */
final class RoleState {
    private final int self;
    private GroupRole role = GroupRole.FOLLOWER;
    private long openIndex;
    private long leaderSince;
    private int leader = PeerView.NO_NODE;
    private String reason = "started";

    RoleState(final int self) {
        this.self = self;
    }

    GroupRole role() {
        return role;
    }

    boolean isLeader() {
        return role == GroupRole.LEADER;
    }

    boolean isCandidate() {
        return role == GroupRole.CANDIDATE;
    }

    boolean isFollower() {
        return role == GroupRole.FOLLOWER;
    }

    /**
     * The leader as this member sees it; {@link PeerView#NO_NODE} where none is reported, and for a leader whose lease
     * has run out.
     */
    int leader() {
        return leader;
    }

    /** Whether this member considers another one the leader. */
    boolean hasOtherLeader() {
        return leader != PeerView.NO_NODE && leader != self;
    }

    /** The index of the record with which this leader opened its term, 0 while it is not the leader. */
    long openIndex() {
        return openIndex;
    }

    /** When this leader won its election, in milliseconds of the steady clock. */
    long leaderSince() {
        return leaderSince;
    }

    /** The reason of the last transition or other notable event, for the status page. */
    String reason() {
        return reason;
    }

    /** Records a notable event that is no transition. */
    void explain(final String newReason) {
        reason = newReason;
    }

    /** Sets the leader that the heartbeats report. */
    void setLeader(final int newLeader) {
        leader = newLeader;
    }

    /** Becomes a follower without a new reason; a leader uses {@link #stepDown} instead. */
    void becomeFollower() {
        role = GroupRole.FOLLOWER;
    }

    /** Becomes a candidate, which requests votes. */
    void becomeCandidate(final String newReason) {
        role = GroupRole.CANDIDATE;
        reason = newReason;
    }

    /** Becomes the leader after winning an election, and opens its term with the record at the index. */
    void becomeLeader(final long newOpenIndex, final String newReason, final long now) {
        role = GroupRole.LEADER;
        openIndex = newOpenIndex;
        leaderSince = now;
        leader = self;
        reason = newReason;
    }

    /** Becomes a follower after having been the leader. */
    void stepDown(final String newReason) {
        role = GroupRole.FOLLOWER;
        openIndex = 0;
        leader = PeerView.NO_NODE;
        reason = newReason;
    }
}
