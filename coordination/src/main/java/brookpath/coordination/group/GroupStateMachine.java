package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.PeerMessage.Pull;
import brookpath.coordination.message.PeerMessage.PullReply;
import brookpath.coordination.message.PeerMessage.VoteReply;
import brookpath.coordination.message.PeerMessage.VoteRequest;
import brookpath.state.record.LogRecord;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Handles the events of one group's member (timers, synced writes and messages), and carries out the transitions of its
 * role; each rule is in the class named after it. It has no clock and no I/O: what is to be done is added to the
 * actions. Not thread-safe: the group's state thread owns it.
 */
final class GroupStateMachine {
    final RoleState roleState;
    final GroupMembership membership;
    final VoteStore voteStore;
    final RaftLog log;
    final PeerView peers;
    final LeaderLease lease;
    final ReplicaRecovery recovery;
    final ReplicaProgress progress;
    final LogFetcher fetcher;
    final LeaderElection election;
    final LeadershipTransfer transfer;
    final MembershipChange membershipChange;

    private final int group;
    private final int self;
    private final TimingBounds timing;
    private final int toleratedLosses;
    private final Actions out;
    private final LogSweep sweep;
    private final LogAppender appender;
    private final Voter voter;
    private final DeferredMessages deferredMessages = new DeferredMessages();

    GroupStateMachine(
            final int group,
            final int self,
            final TimingBounds timing,
            final int toleratedLosses,
            final long seed,
            final Supplier<LogState> states,
            final HeartbeatPromises promises,
            final Actions out) {
        this.group = group;
        this.self = self;
        this.timing = timing;
        this.toleratedLosses = toleratedLosses;
        this.out = out;
        roleState = new RoleState(self);
        membership = new GroupMembership(self);
        voteStore = new VoteStore(group, out);
        peers = new PeerView(group, self);
        log = new RaftLog(group, states, this::refreshMembership, out);
        lease = new LeaderLease(group, self, timing, roleState, membership, voteStore, log, peers);
        recovery = new ReplicaRecovery(group, log, out);
        sweep = new LogSweep(log);
        progress = new ReplicaProgress(self, membership, log);
        appender = new LogAppender(
                group, timing, roleState, membership, voteStore, log, lease, progress, peers, this::isIntact, out);
        fetcher = new LogFetcher(
                group, self, timing, roleState, membership, voteStore, log, recovery, peers, appender, sweep, out);
        election = new LeaderElection(
                group,
                self,
                timing,
                roleState,
                membership,
                voteStore,
                log,
                recovery,
                peers,
                lease,
                promises,
                deferredMessages,
                new SplittableRandom(seed * 31 + group * 7919L + self));
        voter = new Voter(group, timing, roleState, voteStore, election, this::stepDown, out);
        transfer = new LeadershipTransfer(
                group, self, timing, roleState, membership, voteStore, log, peers, lease, progress, election, out);
        membershipChange = new MembershipChange(self, toleratedLosses, membership, log, lease, progress);
    }

    /** Sets the membership that the placement gives. */
    void configure(final Membership placed, final boolean founded, final long now) {
        membership.place(placed);
        refreshMembership();
        election.configure(founded, now);
        // an empty data directory in a founded group means that the log is lost: the member may have forgotten a vote
        recovery.initialise(founded);
    }

    /** Whether a leader may act, or a follower holds everything that its leader has committed. */
    boolean isInSync(final long now) {
        return roleState.isLeader() ? lease.mayAct(now) : fetcher.isInSync(now);
    }

    /** Adopts the newest membership, from the log or from the placement. */
    private void refreshMembership() {
        membership.refresh(log);
        // otherwise the record that removes a member could reach that member alone, which could then neither stand for
        // election nor vote for another with an older log
        appender.dropPendingOfOthers();
    }

    /**
     * Appends one step of a membership change as a record; returns false, and does nothing, where that is not safe now.
     */
    boolean change(final Membership next, final long now, final long wall) {
        if (!membershipChange.isAllowed(next, now)) {
            return false;
        }
        append(LogRecord.MEMBERS, next.save(), now, wall);
        roleState.explain("group version " + next.version() + " with voters "
                + next.voters().stream().map(Member::node).toList() + " and learners "
                + next.learners().stream().map(Member::node).toList());
        out.note("group " + group + ": " + roleState.reason());
        return true;
    }

    /** Handles a timer event: takes the newest heartbeat table, and takes the steps that are due. */
    void tick(final long now, final HeartbeatTable table) {
        peers.update(table);
        if (!membership.selfIsVoter()) {
            tickNonVoter(now);
            return;
        }
        observeTerms(now);
        voter.decidePending(now);
        if (roleState.isLeader()) {
            tickLeader(now);
        }
        election.expire(now);
        updateLeader(now);
        if (roleState.isFollower() && roleState.leader() == PeerView.NO_NODE) {
            fetcher.markOutOfSync();
            election.standForElectionIfDue(now);
        }
        fetcher.trackLag(now);
        sweepLog();
        fetcher.pull(now);
        appender.trimIfDue(now);
    }

    private void observeTerms(final long now) {
        for (final Member voter : membership.voters()) {
            final HeartbeatEntry entry = peers.entry(voter.node(), now);
            if (entry != null) {
                voteStore.observe(entry.term());
            }
        }
    }

    /** Steps down where another member may be the leader by now, else commits what can be committed. */
    private void tickLeader(final long now) {
        if (voteStore.highestTermSeen() > voteStore.term()) {
            stepDown("term " + voteStore.highestTermSeen() + " seen");
        } else if (now - roleState.leaderSince() > timing.detectionTime() && !lease.majorityAnswers(now)) {
            stepDown("no majority answers heartbeats");
        } else {
            advance(now);
            transfer.transferIfDiskStalls(now);
        }
    }

    /** Updates the leader from the heartbeats; a leader that does not hold its lease knows none. */
    private void updateLeader(final long now) {
        final int heard = roleState.isLeader() ? selfIfLeaseHeld(now) : reportedLeader(now);
        if (heard == roleState.leader()) {
            return;
        }
        roleState.setLeader(heard);
        if (roleState.hasOtherLeader()) {
            election.onLeaderHeard();
        } else {
            // the others do not stand for election while any member reports a leader, so they are notified at once
            out.heartbeatNow();
        }
        fetcher.cancel();
    }

    private int selfIfLeaseHeld(final long now) {
        return lease.held(now) ? self : PeerView.NO_NODE;
    }

    /**
     * Handles a timer event of a learner, which replicates the log, or of a node that is not a member, which does not.
     */
    private void tickNonVoter(final long now) {
        if (roleState.isLeader()) {
            stepDown("no longer a voter");
        }
        roleState.becomeFollower();
        if (membership.holdsSelf()) {
            roleState.setLeader(reportedLeader(now));
            fetcher.pull(now);
        } else {
            roleState.setLeader(PeerView.NO_NODE);
            fetcher.markOutOfSync();
        }
    }

    /** Handles the report that all writes up to this number are synced. */
    void synced(final long number, final long now) {
        log.synced(number);
        for (DeferredMessages.Deferred next = deferredMessages.poll(number);
                next != null;
                next = deferredMessages.poll(number)) {
            if (next.node() == self) {
                onVoteReply(self, (VoteReply) next.message(), now);
            } else {
                out.send(next.node(), next.message());
            }
        }
        final String recovered = recovery.synced(number, fetcher.isSnapshotWanted());
        if (recovered != null) {
            roleState.explain(recovered);
        }
        if (roleState.isLeader()) {
            advance(now);
        } else if (!log.hasUnsynced()) {
            fetcher.pull(now);
        }
    }

    /** Handles a message of another node. */
    void on(final int from, final PeerMessage message, final long now) {
        if (!membership.concerns(from, message)) {
            return;
        }
        if (message instanceof PeerMessage.TimeoutNow order) {
            onTimeoutNow(from, order, now);
        } else if (message instanceof VoteRequest request) {
            voter.onRequest(from, request, now);
        } else if (message instanceof VoteReply reply) {
            onVoteReply(from, reply, now);
        } else if (message instanceof Pull pull) {
            onPull(from, pull, now);
        } else if (message instanceof PullReply reply) {
            onPullReply(from, reply, now);
        }
    }

    /** Handles the leader's request that this member take over. */
    private void onTimeoutNow(final int from, final PeerMessage.TimeoutNow order, final long now) {
        final boolean ofOwnLeader = from == roleState.leader() && order.term() == voteStore.term();
        if (roleState.isFollower() && ofOwnLeader && !recovery.isLost() && !log.hasUnsynced()) {
            election.standForElection(now, true);
        }
    }

    /** Appends a record as the leader; the caller has checked {@link LeaderLease#mayAct}. */
    long append(final int kind, final byte[] body, final long now, final long wall) {
        final LogRecord logRecord =
                LogRecord.of(log.endIndex() + 1, voteStore.term(), Math.max(log.lastStamp(), wall), kind, body, now);
        log.append(logRecord);
        appender.answerPending(now);
        return logRecord.index();
    }

    // ---- election

    private void onVoteReply(final int from, final VoteReply m, final long now) {
        if (roleState.isLeader()) {
            return;
        }
        voteStore.observe(m.termSeen());
        if (election.wins(from, m)) {
            becomeLeader(now);
        }
    }

    /** Begins the leadership after winning an election. */
    private void becomeLeader(final long now) {
        election.win(now);
        fetcher.dropReceived();
        progress.clear();
        lease.reset();
        appender.dropPending();
        fetcher.cancel();
        out.milestone("group " + group + ": " + roleState.reason() + ", log to " + log.endIndex() + ", committed "
                + log.committedIndex() + election.waitedFor());
        out.heartbeatNow();
        // records of earlier terms are committed only together with a record of this one
        append(LogRecord.NO_OP, new byte[0], now, 0);
    }

    private void stepDown(final String reason) {
        roleState.stepDown("stepped down: " + reason);
        appender.dropPending();
        progress.clearVoters();
        fetcher.cancel();
        fetcher.markOutOfSync();
        out.note("group " + group + ": " + roleState.reason());
        out.heartbeatNow();
    }

    /** The leader that the heartbeats report, {@link PeerView#NO_NODE} for none. */
    private int reportedLeader(final long now) {
        // a learner may have raised its term in an election that it lost before it was removed as a voter; no voter has
        // noted that term
        return peers.leader(membership.selfIsVoter() ? voteStore.term() : log.endTerm(), now);
    }

    // ---- replication

    private void onPull(final int from, final Pull pull, final long now) {
        final boolean learner = !membership.isVoter(from);
        if (pull.term() > voteStore.term() && !learner) {
            voteStore.observe(pull.term());
            if (roleState.isLeader()) {
                stepDown("peer " + from + " is in term " + pull.term());
            }
            return;
        }
        if (roleState.isLeader()) {
            if (appender.differs(pull)) {
                appender.replaceLog(from, pull, now);
                return;
            }
            if (appender.acknowledge(from, pull)) {
                advance(now);
            }
        } else if (!isInSync(now)) {
            return;
        }
        appender.answer(from, pull, now);
    }

    private void onPullReply(final int from, final PullReply reply, final long now) {
        if (fetcher.onReply(from, reply, now) && !log.hasUnsynced()) {
            synced(0, now);
            fetcher.pull(now);
        }
    }

    private void advance(final long now) {
        if (!lease.held(now)) {
            return;
        }
        final long index =
                progress.committable(membership.floor(toleratedLosses), roleState.openIndex(), voteStore.term());
        if (index > log.committedIndex()) {
            if (log.committedIndex() < roleState.openIndex()) {
                // observers are notified at once that reads are served here, rather than with their own next heartbeat
                out.heartbeatNow();
            }
            log.commit(index);
            appender.answerPending(now);
        }
    }

    // ---- repair

    /**
     * Whether the record is undamaged. Where it is not, this replica no longer counts, serves nothing and is repaired
     * from another.
     */
    boolean isIntact(final long index) {
        if (log.logRecord(index).isIntact()) {
            return true;
        }
        if (!recovery.isLost()) {
            recovery.markDamaged();
            fetcher.replaceLog();
            if (roleState.isLeader()) {
                stepDown("record " + index + " is damaged");
            }
            out.note("group " + group + ": record " + index + " is damaged; the replica is being repaired");
        }
        return false;
    }

    /** Finds damaged records that no read has encountered. */
    private void sweepLog() {
        final long damagedIndex = sweep.nextDamaged();
        if (damagedIndex != LogSweep.NONE) {
            isIntact(damagedIndex);
        }
    }
}
