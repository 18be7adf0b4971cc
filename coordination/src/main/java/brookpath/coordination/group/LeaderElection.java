package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.PeerMessage.VoteReply;
import brookpath.coordination.message.PeerMessage.VoteRequest;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * The election of a group's leader: when this member stands, which candidate it votes for, and when it has won. A
 * member stands only where no leader is heard and no other that answers has a newer log; among equal logs the lower
 * ranks defer to the higher ones for a few attempts. Times are of the steady clock, in milliseconds. Not thread-safe:
 * the group's state thread owns it.
 */
final class LeaderElection {
    /** The refusal of a member that may still be bound by a promise of its former incarnation. */
    static final String JUST_STARTED = "just started";

    /** After so many failed attempts a member no longer defers to a higher rank. */
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
    /** What this member waited for before it stood last; empty where it stood at once. */
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

    /** Sets when the process started; promises of an earlier run were made before that. */
    void startedAt(final long now) {
        startedAt = now;
    }

    /**
     * The member is configured: whether its group was founded before, and when the process started if that is unknown.
     */
    void configure(final boolean isFounded, final long now) {
        founded = isFounded;
        if (startedAt == NEVER) {
            startedAt = now;
        }
        // why: a member that has voted in a term is bound by no leader of an earlier one, also after a restart
        promises.raise(group, voteStore.term(), self, true, now);
    }

    /** This member is about to leave and no longer stands. */
    void withdraw() {
        withdrawn = true;
    }

    /** Why this member did not stand for election at its last check, empty for no obstacle. */
    String obstacle() {
        return obstacle;
    }

    /** What this member waited for before it stood last, for a log line; empty for nothing. */
    String waitedFor() {
        return lastObstacle.isEmpty() ? "" : "; waited before: " + lastObstacle;
    }

    // ---- standing

    /** Another member leads the group, so a later election begins afresh. */
    void onLeaderHeard() {
        failedAttempts = 0;
    }

    /**
     * Ends a candidacy whose time has run out; the next one starts after a random back-off that grows with each
     * attempt.
     */
    void expire(final long now) {
        if (roleState.isCandidate() && now >= attemptEndsAt) {
            failedAttempts++;
            nextAttempt = now + backoff();
            roleState.becomeFollower();
            roleState.explain("go for epoch " + voteStore.term() + " lost");
        }
    }

    private long backoff() {
        final int attempts = Math.min(MAX_BACKOFF_ATTEMPTS, failedAttempts);
        return (long) (timing.voteDeadline() * (MIN_BACKOFF + random.nextDouble() * attempts));
    }

    /** Stands where that is due and there is no obstacle. */
    void standIfDue(final long now) {
        if (now >= nextAttempt && mayStand(now)) {
            stand(now, false);
        }
    }

    /**
     * Requests votes in a new term, once this member's own vote is synced.
     *
     * @param manual the leader itself has asked this member to take over
     */
    void stand(final long now, final boolean manual) {
        final long term = voteStore.highestTermSeen() + 1;
        if (!promises.raise(group, term, self, manual, now)) {
            obstacle = "it has just answered a master's beat";
            return;
        }
        final long write = voteStore.vote(term, self);
        votes.clear();
        attemptEndsAt = now + timing.voteDeadline();
        roleState.becomeCandidate("stands for epoch " + term);
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

    private boolean mayStand(final long now) {
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
            return "its copy is being rebuilt";
        }
        if (withdrawn) {
            return "it is about to leave";
        }
        if (mayHavePromised(self, now)) {
            return "it has just started";
        }
        if (diskLag(now) > timing.diskStallTimeout()) {
            return "its disk takes nothing";
        }
        return "";
    }

    /** The obstacle in what the other voters report, empty for none. */
    private String peerObstacle(final long now) {
        int answering = 1;
        int better = 0;
        for (final Member voter : membership.voters()) {
            final HeartbeatEntry entry = peers.entry(voter.node(), now);
            if (entry == null || entry.sync() == SyncState.LOST.code()) {
                continue;
            }
            if (entry.role() == GroupRole.LEADER.code() && entry.term() >= voteStore.term()) {
                return "node " + voter.node() + " is the master";
            }
            if (entry.leaderHeard() != PeerView.NOBODY && entry.leaderHeard() != self) {
                return "node " + voter.node() + " hears master " + entry.leaderHeard();
            }
            // why: one that is heard but does not answer is down; waiting for its longer log might never end, and the
            // voters' own logs decide anyway
            if (!peers.up(voter.node())) {
                continue;
            }
            if (RaftLog.newer(entry.endTerm(), entry.endIndex(), log.syncedTerm(), log.syncedIndex())) {
                return "node " + voter.node() + " has a newer log";
            }
            answering++;
            if (endsAsOwnLog(entry.endIndex(), entry.endTerm()) && membership.outranks(voter.node(), self)) {
                better++;
            }
        }
        if (answering < votesNeeded()) {
            return "only " + answering + " of " + votesNeeded() + " answer";
        }
        return better > 0 && defers(better, now) ? "gives a higher rank a head start" : "";
    }

    /**
     * Whether the lower rank still gives the higher ones a head start; by their ranks all know which one should win.
     */
    private boolean defers(final int better, final long now) {
        if (failedAttempts >= DEFERRING_ATTEMPTS) {
            return false;
        }
        if (now - deferUntil > timing.detectionTime()) {
            deferUntil = now + better * timing.voteDeadline();
        }
        return now < deferUntil;
    }

    private boolean endsAsOwnLog(final long index, final long term) {
        return index == log.syncedIndex() && term == log.syncedTerm();
    }

    /**
     * Whether a leader may still act on a promise of this member's former incarnation: one that answered a heartbeat
     * just before the restart. It may not once the detection time is over, or once all other voters have reported since
     * the start that they lead nothing.
     *
     * @param reported a voter that has reported so by other means than its heartbeats
     */
    private boolean mayHavePromised(final int reported, final long now) {
        return now - startedAt <= timing.detectionTime() && !allOthersLeadNothing(reported, now);
    }

    /**
     * Whether each other voter has reported to this incarnation that it does not lead the group. A leader that held a
     * promise of the former incarnation has then stepped down or been started again, for a later leadership counts only
     * answers to its own heartbeats. Equal last terms and group versions mean equal memberships, so no leader is
     * missing among the voters that are asked.
     */
    private boolean allOthersLeadNothing(final int reported, final long now) {
        // why: after a restart of all members nobody is bound, and waiting for the detection time would only keep the
        // callers out for as long
        for (final Member voter : membership.voters()) {
            final int node = voter.node();
            if (node != self && node != reported && !leadsNothing(peers.entry(node, now))) {
                return false;
            }
        }
        return true;
    }

    private boolean isOfEqualLog(final VoteRequest request) {
        return request.groupVersion() == membership.version() && request.endTerm() == log.syncedTerm();
    }

    /** @param entry what a voter has reported to this incarnation, null for nothing */
    private boolean leadsNothing(final HeartbeatEntry entry) {
        return entry != null
                && entry.role() != GroupRole.LEADER.code()
                && entry.sync() != SyncState.LOST.code()
                && entry.groupVersion() == membership.version()
                && entry.endTerm() == log.syncedTerm()
                && (entry.leaderHeard() == PeerView.NOBODY || entry.leaderHeard() == self);
    }

    /** How long the oldest write that this member waits for has been pending, in milliseconds. */
    long diskLag(final long now) {
        return Math.max(log.syncLag(now), deferredMessages.lag(now));
    }

    // ---- voting

    /**
     * Why this member does not vote for the candidate, null where it may. Where null, the term is raised for the
     * promises.
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
        return free ? null : "has just answered a master's beat";
    }

    private String refusalByState(final int candidate, final VoteRequest request, final long now) {
        if (recovery.isDiskLost() || !recovery.isInitialised()) {
            return "copy is being rebuilt";
        }
        // why: the request itself reports that the candidate leads nothing
        final int reported = isOfEqualLog(request) ? candidate : self;
        if (mayHavePromised(reported, now)) {
            return JUST_STARTED;
        }
        if (request.groupVersion() < membership.version() && request.endTerm() <= log.syncedTerm()) {
            return "older group version";
        }
        if (!voteStore.mayVote(request.term(), candidate)) {
            return "epoch " + voteStore.term() + " is taken";
        }
        if (roleState.isLeader() && (!request.manual() || !lease.transferring(now))) {
            return "master lives";
        }
        return null;
    }

    private String refusalByLog(final int candidate, final VoteRequest request, final long now) {
        // why: the table's indexes may be stale; the voter's own log as it is now is what counts
        if (RaftLog.newer(log.syncedTerm(), log.syncedIndex(), request.endTerm(), request.endIndex())) {
            return "own log is newer";
        }
        if (endsAsOwnLog(request.endIndex(), request.endTerm())
                && membership.outranks(self, candidate)
                && request.attempts() < DEFERRING_ATTEMPTS
                && !request.manual()
                && mayStand(now)) {
            nextAttempt = now;
            return "ranks higher and stands itself";
        }
        return null;
    }

    /** Votes for the candidate, which {@link #refusal} has accepted; the reply waits until the vote is synced. */
    void grant(final int candidate, final long term, final long now) {
        // why: a vote that is forgotten after a crash could be given twice
        final long write = voteStore.vote(term, candidate);
        roleState.becomeFollower();
        nextAttempt = now + timing.detectionTime();
        roleState.explain("voted for " + candidate + " in epoch " + term);
        deferredMessages.add(write, candidate, new VoteReply(group, term, true, term, "granted"), now);
    }

    // ---- winning

    /** Counts a vote; true where this candidate has won with it. */
    boolean wins(final int voter, final VoteReply reply) {
        if (!roleState.isCandidate() || reply.term() != voteStore.term() || !reply.granted()) {
            return false;
        }
        votes.add(voter);
        return votes.size() >= votesNeeded();
    }

    /** Makes this member the leader; its term opens with the next record of the log. */
    void win(final long now) {
        final String reason = "won epoch " + voteStore.term() + " with votes of " + votes;
        roleState.becomeLeader(log.endIndex() + 1, reason, now);
        failedAttempts = 0;
    }

    /** A majority; all voters where the group is being founded. */
    private int votesNeeded() {
        return founded ? membership.majority() : membership.voters().size();
    }
}
