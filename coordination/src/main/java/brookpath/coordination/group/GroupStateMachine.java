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
 * Takes the events of one group's member, timers, synced writes and messages, and carries out the transitions of its
 * role; each rule is in the class that bears its name. It has no clock and no I/O: what is to be done is added to the
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
                group, timing, roleState, membership, voteStore, log, lease, progress, this::isIntact, out);
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

    /** Sets the membership as of the placement. */
    void configure(final Membership placed, final boolean founded, final long now) {
        membership.place(placed);
        refreshMembership();
        election.configure(founded, now);
        // why: an empty folder of a founded group has lost its log; it must not vote as if it had never had one
        recovery.initialise(founded);
    }

    /** Whether a leader may act, or a follower has all that the leader which it hears has committed. */
    boolean isInSync(final long now) {
        return roleState.isLeader() ? lease.mayAct(now) : fetcher.isInSync(now);
    }

    /** Adopts the newest membership of the log or the placement. */
    private void refreshMembership() {
        membership.refresh(log);
        // why: the record that removes a member must not end at that member, which could then neither stand nor help
        // another with an older log
        appender.dropPendingOfOthers();
    }

    /** Appends one step of a membership change as a record. False, and nothing is done, where it is not safe now. */
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

    /** Handles a timer event: takes the newest heartbeat table, and does what is due. */
    void tick(final long now, final HeartbeatTable table) {
        peers.update(table);
        if (!membership.selfIsVoter()) {
            followOnly(now);
            return;
        }
        observeTerms(now);
        voter.decidePending(now);
        if (roleState.isLeader()) {
            leadOn(now);
        }
        election.expire(now);
        hearLeader(now);
        if (roleState.isFollower() && roleState.leader() == PeerView.NOBODY) {
            fetcher.outOfSync();
            election.standIfDue(now);
        }
        fetcher.watchLeader(now);
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

    /** Steps down where another may lead by now, else commits what can be committed. */
    private void leadOn(final long now) {
        if (voteStore.highestTermSeen() > voteStore.term()) {
            stepDown("epoch " + voteStore.highestTermSeen() + " seen");
        } else if (now - roleState.leaderSince() > timing.detectionTime() && !lease.majorityAnswers(now)) {
            stepDown("no majority answers");
        } else {
            advance(now);
            transfer.transferIfDiskStalls(now);
        }
    }

    /** Adopts the leader that the heartbeats report; a leader without its lease has none. */
    private void hearLeader(final long now) {
        final int heard = roleState.isLeader() ? ownLeadership(now) : liveLeader(now);
        if (heard == roleState.leader()) {
            return;
        }
        roleState.hear(heard);
        if (roleState.hearsOtherLeader()) {
            election.onLeaderHeard();
        } else {
            // why: the others do not stand while anybody reports a live leader, so they are notified at once
            out.heartbeatNow();
        }
        fetcher.cancel();
    }

    private int ownLeadership(final long now) {
        return lease.held(now) ? self : PeerView.NOBODY;
    }

    /** A learner replicates the log; a node that is no member does nothing and follows no leader. */
    private void followOnly(final long now) {
        if (roleState.isLeader()) {
            stepDown("is no voter any more");
        }
        roleState.becomeFollower();
        if (membership.holdsSelf()) {
            roleState.hear(liveLeader(now));
            fetcher.pull(now);
        } else {
            roleState.hear(PeerView.NOBODY);
            fetcher.outOfSync();
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

    /** The leader transfers its leadership to this member. */
    private void onTimeoutNow(final int from, final PeerMessage.TimeoutNow order, final long now) {
        final boolean ofOwnLeader = from == roleState.leader() && order.term() == voteStore.term();
        if (roleState.isFollower() && ofOwnLeader && !recovery.isLost() && !log.hasUnsynced()) {
            election.stand(now, true);
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
            lead(now);
        }
    }

    /** Begins the leadership after a won election. */
    private void lead(final long now) {
        election.win(now);
        fetcher.dropReceived();
        progress.clear();
        lease.reset();
        appender.dropPending();
        fetcher.cancel();
        out.milestone("group " + group + ": " + roleState.reason() + ", log to " + log.endIndex() + ", committed "
                + log.committedIndex() + election.waitedFor());
        out.heartbeatNow();
        // why: records of earlier terms count as committed only once a record of this one is
        append(LogRecord.NO_OP, new byte[0], now, 0);
    }

    private void stepDown(final String reason) {
        roleState.stepDown("stepped down: " + reason);
        appender.dropPending();
        progress.clearVoters();
        fetcher.cancel();
        fetcher.outOfSync();
        out.note("group " + group + ": " + roleState.reason());
        out.heartbeatNow();
    }

    /** The leader that the heartbeats report, 0 for none. */
    private int liveLeader(final long now) {
        // why: a learner may have raised its term before it was removed, when no voter took note of it
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
                // why: a process that only watches is notified at once that reads are served here, not with its own
                // next heartbeat
                out.heartbeatNow();
            }
            log.commit(index);
            appender.answerPending(now);
        }
    }

    // ---- repair

    /**
     * Whether the record is undamaged. Where not, this replica does not count and is repaired from another, and nothing
     * of it is served.
     */
    boolean isIntact(final long index) {
        if (log.logRecord(index).isIntact()) {
            return true;
        }
        if (!recovery.isLost()) {
            recovery.damage();
            fetcher.replaceLog();
            if (roleState.isLeader()) {
                stepDown("record " + index + " is damaged");
            }
            out.note("group " + group + ": record " + index + " is damaged; the copy is mended");
        }
        return false;
    }

    /** Finds damaged records that no read has met. */
    private void sweepLog() {
        final long damagedIndex = sweep.nextDamaged();
        if (damagedIndex != LogSweep.NONE) {
            isIntact(damagedIndex);
        }
    }
}
