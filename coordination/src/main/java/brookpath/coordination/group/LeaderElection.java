package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.PeerMessage.VoteReply;
import brookpath.coordination.message.PeerMessage.VoteRequest;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * The election of a group's leader: when this member stands for election, which candidate it votes for, and when it has
 * won. A member stands only where no leader is reported and no other that answers has a newer log; among members with
 * equal logs the lower-ranked defer to the higher-ranked for a few attempts. Times are of the steady clock, in
 * milliseconds. Not thread-safe: the group's state thread owns it.
 */
final class LeaderElection {
    /** The reason of a refusal by a member that may still be bound by a promise of its former incarnation. */
    static final String JUST_STARTED = "just started";

    /** After this many failed attempts a member no longer defers to a higher-ranked one. */
    private static final int DEFERRING_ATTEMPTS = 3;

    private static final int MAX_BACKOFF_ATTEMPTS = 4;
    private static final double MIN_BACKOFF = 0.2;
    private static final long NEVER = Long.MIN_VALUE;

    private final int group;
    private final int self;
    private final TimingBounds timing;
    private final RoleState roleState;
    private final GroupMembership membership;
    private final VoteStore voteStore;
    private final RaftLog log;
    private final ReplicaRecovery recovery;
    private final PeerView peers;
    private final LeaderLease lease;
    private final HeartbeatPromises promises;
    private final DeferredMessages deferredMessages;
    private final SplittableRandom random;

    private final TreeSet<Integer> votes = new TreeSet<>();
    private boolean founded;
    private boolean withdrawn;
    private long startedAt = NEVER;
    private long attemptEndsAt;
    private long nextAttempt;
    private int failedAttempts;
    private long deferUntil = NEVER / 2;
    private String obstacle = "";
    /** What delayed this member's last candidacy; empty where nothing did. */
    private String lastObstacle = "";

    LeaderElection(
            final int group,
            final int self,
            final TimingBounds timing,
            final RoleState roleState,
            final GroupMembership membership,
            final VoteStore voteStore,
            final RaftLog log,
            final ReplicaRecovery recovery,
            final PeerView peers,
            final LeaderLease lease,
            final HeartbeatPromises promises,
            final DeferredMessages deferredMessages,
            final SplittableRandom random) {
        this.group = group;
        this.self = self;
        this.timing = timing;
        this.roleState = roleState;
        this.membership = membership;
        this.voteStore = voteStore;
        this.log = log;
        this.recovery = recovery;
        this.peers = peers;
        this.lease = lease;
        this.promises = promises;
        this.deferredMessages = deferredMessages;
        this.random = random;
    }

    /** Sets when the process started; promises of its former incarnation were made before that. */
    void startedAt(final long startTime) {
        startedAt = startTime;
    }

    /**
     * Configures the member; the process counts as started now if its start time is unknown.
     *
     * @param isFounded whether the group was founded before
     */
    void configure(final boolean isFounded, final long now) {
        founded = isFounded;
        if (startedAt == NEVER) {
            startedAt = now;
        }
        // a member that has voted in a term is bound by no leader of an earlier one, not even after a restart
        promises.raise(group, voteStore.term(), self, true, now);
    }

    /** This member is about to leave and no longer stands for election. */
    void withdraw() {
        withdrawn = true;
    }

    /** Why this member did not stand for election at its last check, empty where nothing prevented it. */
    String obstacle() {
        return obstacle;
    }

    /** What delayed this member's last candidacy, as the end of a log line; empty where nothing did. */
    String waitedFor() {
        return lastObstacle.isEmpty() ? "" : "; candidacy was delayed: " + lastObstacle;
    }

    // ---- standing for election

    /** Another member leads the group, so failed attempts no longer count. */
    void onLeaderHeard() {
        failedAttempts = 0;
    }

    /**
     * Ends a candidacy that has timed out; the next one starts after a random back-off that grows with each attempt.
     */
    void expire(final long now) {
        if (roleState.isCandidate() && now >= attemptEndsAt) {
            failedAttempts++;
            nextAttempt = now + backoff();
            roleState.becomeFollower();
            roleState.explain("election of term " + voteStore.term() + " lost");
        }
    }

    private long backoff() {
        final int attempts = Math.min(MAX_BACKOFF_ATTEMPTS, failedAttempts);
        return (long) (timing.voteDeadline() * (MIN_BACKOFF + random.nextDouble() * attempts));
    }

    /** Stands for election where the back-off is over and nothing prevents it. */
    void standForElectionIfDue(final long now) {
        if (now >= nextAttempt && mayStandForElection(now)) {
            standForElection(now, false);
        }
    }

    /**
     * Requests votes in a new term, once this member's own vote is synced.
     *
     * @param manual whether the leader has asked this member to take over
     */
    void standForElection(final long now, final boolean manual) {
        final long term = voteStore.highestTermSeen() + 1;
        if (!promises.raise(group, term, self, manual, now)) {
            obstacle = "it has just answered a leader's heartbeat";
            return;
        }
        final long write = voteStore.vote(term, self);
        votes.clear();
        attemptEndsAt = now + timing.voteDeadline();
        roleState.becomeCandidate("stands for election in term " + term);
        final VoteReply ownVote = new VoteReply(group, term, true, term, "own vote");
        final VoteRequest request = new VoteRequest(
                group,
                membership.version(),
                term,
                log.syncedIndex(),
                log.syncedTerm(),
                membership.weight(self),
                failedAttempts,
                manual);
        for (final Member voter : membership.voters()) {
            deferredMessages.add(write, voter.node(), voter.node() == self ? ownVote : request, now);
        }
    }

    private boolean mayStandForElection(final long now) {
        final String own = ownObstacle(now);
        final String found = own.isEmpty() ? peerObstacle(now) : own;
        if (found.isEmpty() && !obstacle.isEmpty()) {
            lastObstacle = obstacle;
        }
        obstacle = found;
        return found.isEmpty();
    }

    /** The obstacle in this member's own state, empty for none. */
    private String ownObstacle(final long now) {
        if (recovery.isLost() || !recovery.isInitialised()) {
            return "its replica is being rebuilt";
        }
        if (withdrawn) {
            return "it is about to leave";
        }
        if (mayBeBoundByPromise(self, now)) {
            return "it has just started";
        }
        if (diskLag(now) > timing.diskStallTimeout()) {
            return "its disk completes no writes";
        }
        return "";
    }

    /** The obstacle in what the other voters report, empty for none. */
    private String peerObstacle(final long now) {
        int answering = 1;
        int higherRanked = 0;
        for (final Member voter : membership.voters()) {
            final HeartbeatEntry entry = peers.entry(voter.node(), now);
            if (entry == null || entry.sync() == SyncState.LOST.code()) {
                continue;
            }
            if (entry.role() == GroupRole.LEADER.code() && entry.term() >= voteStore.term()) {
                return "node " + voter.node() + " is the leader";
            }
            if (entry.leaderHeard() != PeerView.NO_NODE && entry.leaderHeard() != self) {
                return "node " + voter.node() + " reports leader " + entry.leaderHeard();
            }
            // a node that is heard but does not answer counts as down: waiting for its newer log might never end, and
            // the voters compare their own logs with the candidate's anyway
            if (!peers.up(voter.node())) {
                continue;
            }
            if (RaftLog.newer(entry.endTerm(), entry.endIndex(), log.syncedTerm(), log.syncedIndex())) {
                return "node " + voter.node() + " has a newer log";
            }
            answering++;
            if (endsAsOwnLog(entry.endIndex(), entry.endTerm()) && membership.outranks(voter.node(), self)) {
                higherRanked++;
            }
        }
        if (answering < votesNeeded()) {
            return "only " + answering + " of " + votesNeeded() + " answer";
        }
        return higherRanked > 0 && defers(higherRanked, now) ? "defers to a higher-ranked member" : "";
    }

    /**
     * Whether this member still defers to higher-ranked ones, so that members with equal logs do not split the vote.
     *
     * @param higherRanked how many members with an equal log rank higher
     */
    private boolean defers(final int higherRanked, final long now) {
        if (failedAttempts >= DEFERRING_ATTEMPTS) {
            return false;
        }
        if (now - deferUntil > timing.detectionTime()) {
            deferUntil = now + higherRanked * timing.voteDeadline();
        }
        return now < deferUntil;
    }

    private boolean endsAsOwnLog(final long index, final long term) {
        return index == log.syncedIndex() && term == log.syncedTerm();
    }

    /**
     * Whether a leader may still act on a promise of this member's former incarnation, made by the answer to a
     * heartbeat just before the restart. It no longer may once the detection time is over, or once all other voters
     * have reported since the start that they are not the leader.
     *
     * @param reported a voter that has reported so by other means than its heartbeats; this member for none
     */
    private boolean mayBeBoundByPromise(final int reported, final long now) {
        return now - startedAt <= timing.detectionTime() && !allOthersReportNoLeadership(reported, now);
    }

    /**
     * Whether each other voter has reported to this incarnation that it does not lead the group. A leader that held a
     * promise of the former incarnation has then stepped down or restarted, since a later leadership counts only
     * answers to its own heartbeats. Equal last terms and group versions mean equal memberships, so no leader is
     * missing among the voters that are checked.
     */
    private boolean allOthersReportNoLeadership(final int reported, final long now) {
        // after a restart of all members none is bound, and waiting for the detection time would only prolong the
        // outage
        for (final Member voter : membership.voters()) {
            final int node = voter.node();
            if (node != self && node != reported && !reportsNoLeadership(peers.entry(node, now))) {
                return false;
            }
        }
        return true;
    }

    private boolean endsInSameTermAndVersion(final VoteRequest request) {
        return request.groupVersion() == membership.version() && request.endTerm() == log.syncedTerm();
    }

    /** @param entry what a voter has reported to this incarnation, null where it has not reported */
    private boolean reportsNoLeadership(final HeartbeatEntry entry) {
        return entry != null
                && entry.role() != GroupRole.LEADER.code()
                && entry.sync() != SyncState.LOST.code()
                && entry.groupVersion() == membership.version()
                && entry.endTerm() == log.syncedTerm()
                && (entry.leaderHeard() == PeerView.NO_NODE || entry.leaderHeard() == self);
    }

    /** How long the oldest write that this member waits for has been pending, in milliseconds. */
    long diskLag(final long now) {
        return Math.max(log.syncLag(now), deferredMessages.lag(now));
    }

    // ---- voting

    /**
     * Why this member does not vote for the candidate, null where it may. If it may, the promises are raised to the
     * request's term.
     */
    String refusal(final int candidate, final VoteRequest request, final long now) {
        final String own = refusalByState(candidate, request, now);
        if (own != null) {
            return own;
        }
        final String byLog = refusalByLog(candidate, request, now);
        if (byLog != null) {
            return byLog;
        }
        final boolean free = promises.raise(group, request.term(), candidate, request.manual(), now);
        return free ? null : "has just answered a leader's heartbeat";
    }

    private String refusalByState(final int candidate, final VoteRequest request, final long now) {
        if (recovery.isDiskLost() || !recovery.isInitialised()) {
            return "replica is being rebuilt";
        }
        // the request itself shows that the candidate is not the leader
        final int reported = endsInSameTermAndVersion(request) ? candidate : self;
        if (mayBeBoundByPromise(reported, now)) {
            return JUST_STARTED;
        }
        if (request.groupVersion() < membership.version() && request.endTerm() <= log.syncedTerm()) {
            return "older group version";
        }
        if (!voteStore.mayVote(request.term(), candidate)) {
            return "term " + voteStore.term() + " is already entered";
        }
        if (roleState.isLeader() && (!request.manual() || !lease.transferring(now))) {
            return "is the leader";
        }
        return null;
    }

    private String refusalByLog(final int candidate, final VoteRequest request, final long now) {
        // the heartbeat table's indexes may be stale, so the voter compares with its own log as it is now
        if (RaftLog.newer(log.syncedTerm(), log.syncedIndex(), request.endTerm(), request.endIndex())) {
            return "own log is newer";
        }
        if (endsAsOwnLog(request.endIndex(), request.endTerm())
                && membership.outranks(self, candidate)
                && request.attempts() < DEFERRING_ATTEMPTS
                && !request.manual()
                && mayStandForElection(now)) {
            nextAttempt = now;
            return "ranks higher and stands for election itself";
        }
        return null;
    }

    /** Votes for the candidate, which {@link #refusal} has accepted; the reply is sent once the vote is synced. */
    void grant(final int candidate, final long term, final long now) {
        // a vote that is lost in a crash could be given twice
        final long write = voteStore.vote(term, candidate);
        roleState.becomeFollower();
        nextAttempt = now + timing.detectionTime();
        roleState.explain("voted for " + candidate + " in term " + term);
        deferredMessages.add(write, candidate, new VoteReply(group, term, true, term, "granted"), now);
    }

    // ---- winning

    /** Counts a vote; true where this candidate has won the election with it. */
    boolean wins(final int voter, final VoteReply reply) {
        if (!roleState.isCandidate() || reply.term() != voteStore.term() || !reply.granted()) {
            return false;
        }
        votes.add(voter);
        return votes.size() >= votesNeeded();
    }

    /** Makes this member the leader; its term opens with the next record of the log. */
    void win(final long now) {
        final String reason = "won term " + voteStore.term() + " with the votes of " + votes;
        roleState.becomeLeader(log.endIndex() + 1, reason, now);
        failedAttempts = 0;
    }

    /** The number of votes that wins: a majority, or all voters while the group is being founded. */
    private int votesNeeded() {
        return founded ? membership.majority() : membership.voters().size();
    }
}
