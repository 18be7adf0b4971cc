package brookpath.coordination.group;

/**
 * The one owner of a member's role in its group: follower, candidate or leader, and whom it takes for the leader. Each
 * transition says why it happened. Not thread-safe: the group's state thread owns it.
 */
final class RoleState {
    private final int self;
    private GroupRole role = GroupRole.FOLLOWER;
    private long openIndex;
    private long leaderSince;
    private int leader = PeerView.NOBODY;
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
     * The leader as this member sees it; {@link PeerView#NOBODY} where it hears none, and while its own lease is out.
     */
    int leader() {
        return leader;
    }

    /** Whether another member is heard as the leader. */
    boolean hearsOtherLeader() {
        return leader != PeerView.NOBODY && leader != self;
    }

    /** The index at which this leader opened its term, 0 while it leads nothing. */
    long openIndex() {
        return openIndex;
    }

    /** When this leader won its election, in milliseconds of the steady clock. */
    long leaderSince() {
        return leaderSince;
    }

    /** Why the last thing of note happened to this member, for its status page. */
    String reason() {
        return reason;
    }

    /** Something of note happened that is no transition. */
    void explain(final String newReason) {
        reason = newReason;
    }

    /** Whom the heartbeats tell to lead the group. */
    void hear(final int newLeader) {
        leader = newLeader;
    }

    /** A candidacy has ended without a majority, for another member was chosen or nobody was. */
    void becomeFollower() {
        role = GroupRole.FOLLOWER;
    }

    /** Asks for votes. */
    void becomeCandidate(final String newReason) {
        role = GroupRole.CANDIDATE;
        reason = newReason;
    }

    /** Has won an election, and opens its term with the record at the index. */
    void becomeLeader(final long newOpenIndex, final String newReason, final long now) {
        role = GroupRole.LEADER;
        openIndex = newOpenIndex;
        leaderSince = now;
        leader = self;
        reason = newReason;
    }

    /** Leads no more. */
    void stepDown(final String newReason) {
        role = GroupRole.FOLLOWER;
        openIndex = 0;
        leader = PeerView.NOBODY;
        reason = newReason;
    }
}
