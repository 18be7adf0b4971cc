package brookpath.coordination.group;

import static brookpath.coordination.message.PeerMessage.PullReply.FULL;
import static brookpath.coordination.message.PeerMessage.PullReply.MISMATCH;
import static brookpath.coordination.message.PeerMessage.PullReply.RECORDS;

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
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * One member of one replication group: the source's election and pulled replication, with the terms, the copies floor,
 * the lease and the lost-disk rule that it lacks. Takes (event, now) and adds actions; it has no clock and no I/O.
 */
public final class GroupMachine {
    public static final int FOLLOWER = HeartbeatEntry.FOLLOWER;
    public static final int CANDIDATE = HeartbeatEntry.CANDIDATE;
    public static final int LEADER = HeartbeatEntry.LEADER;

    public static final int SYNC_PEER = 0;
    public static final int SYNC_CATCH_UP = 1;
    public static final int SYNC_LOST = 2;

    private final int id;
    private final int self;
    private final TimingBounds timing;
    private final int toleratedLosses;
    private final RaftLog log;
    private final Actions out;

    private final GroupMembership membership;
    private final PeerView peers;
    private final LeaderLease lease;

    private final ReplicaRecovery recovery;
    private final VoteStore voteStore;

    private final LogSweep sweep;
    private final DeferredMessages deferredMessages = new DeferredMessages();
    private final LeaderElection election;

    private final RoleState roleState;
    private final ReplicaProgress progress;
    private final LogAppender appender;

    private long nextTrim = Long.MIN_VALUE;

    private int pullSource;
    private long pullSentAt;
    private boolean pulling;
    private boolean wantFull;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

    private boolean inSync;
    private long behindSince = Long.MAX_VALUE;

    public GroupMachine(
            final int id,
            final int self,
            final TimingBounds timing,
            final int toleratedLosses,
            final long seed,
            final Supplier<LogState> states,
            final HeartbeatPromises promises,
            final Actions out) {
        this.id = id;
        this.self = self;
        this.timing = timing;
        this.toleratedLosses = toleratedLosses;
        this.out = out;
        roleState = new RoleState(self);
        membership = new GroupMembership(self);
        voteStore = new VoteStore(id, out);
        peers = new PeerView(id, self);
        log = new RaftLog(id, states, this::useMembership, out);
        lease = new LeaderLease(id, self, timing, roleState, membership, voteStore, log, peers);
        recovery = new ReplicaRecovery(id, log, out);
        sweep = new LogSweep(log);
        progress = new ReplicaProgress(self, membership, log);
        appender =
                new LogAppender(id, timing, roleState, membership, voteStore, log, lease, progress, this::whole, out);
        election = new LeaderElection(
                id,
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
                new SplittableRandom(seed * 31 + id * 7919L + self));
    }

    // ---- what others may read

    public int id() {
        return id;
    }

    public int role() {
        return roleState.role().code();
    }

    public long term() {
        return voteStore.term();
    }

    public long committed() {
        return log.committedIndex();
    }

    public long endIndex() {
        return log.endIndex();
    }

    public long baseIndex() {
        return log.baseIndex();
    }

    public long syncedIndex() {
        return log.syncedIndex();
    }

    /** Where this leader opened its term, 0 while it has none. */
    public long openIndex() {
        return roleState.openIndex();
    }

    public int groupVersion() {
        return membership.version();
    }

    public List<Member> members() {
        return membership.voters();
    }

    public Membership membership() {
        return membership.current();
    }

    /** Whether the log itself tells who the members are, rather than whoever founded the group. */
    public boolean tellsMembers() {
        return log.baseMembership() != null || log.newestMembershipRecord() != null;
    }

    /** Whether the newest membership is committed, so that a next step may follow. */
    public boolean membershipSettled() {
        return membership.index() <= log.committedIndex();
    }

    /** How far a learner's copy is known to be synced. */
    public long learnt(final int node) {
        return progress.ofLearner(node);
    }

    /** How far a voter's copy is known to be synced, as the leader counts it; -1 where nothing is known. */
    public long copySynced(final int node) {
        return progress.ofVoter(node);
    }

    /** Where the newest membership stands in the log; 0 where the log tells none. */
    public long membershipIndex() {
        return membership.index();
    }

    /** Nothing is under way that a timer would have to drive on. */
    public boolean calm() {
        return roleState.isLeader()
                ? roleState.openIndex() > 0 && log.committedIndex() == endIndex()
                : roleState.isFollower() && roleState.leader() != 0 && !lost();
    }

    /** What was asked of the node may never have arrived. */
    public void sessionLost(final int node) {
        pulling &= pullSource != node;
    }

    public LogState live() {
        return log.live();
    }

    public LogState base() {
        return log.base();
    }

    /** Whether this copy is none and is to be rebuilt from another. */
    public boolean lost() {
        return recovery.isLost();
    }

    public String why() {
        return roleState.reason();
    }

    /** The leader as this member sees it, 0 for none. */
    public int leaderHeard() {
        return roleState.leader();
    }

    public LogRecord logRecord(final long index) {
        return log.logRecord(index);
    }

    public int floor() {
        return floor(members().size());
    }

    /** The copies that an committed record has at least, in a group of so many voters. */
    public int floor(final int voters) {
        return Quorums.floor(voters, toleratedLosses);
    }

    /** Whether the node, a voter or a learner, is this leader itself or has answered it within the lease. */
    public boolean follows(final int node, final long now) {
        return node == self || lease.answered(node, now);
    }

    /** How many voters are known to have synced the log up to the index. */
    public int copies(final long index) {
        return progress.replicas(index);
    }

    public int active(final long now) {
        int n = 1;
        for (final Member m : members()) {
            n += peers.active(m.node(), now) ? 1 : 0;
        }
        return n;
    }

    /** May this member act as the leader just now? Asked again immediately before each response. */
    public boolean mayAct(final long now) {
        return lease.mayAct(now);
    }

    /** Has a follower the committed position of a leader that it hears? */
    public boolean inSync(final long now) {
        // why: a follower that hears its leader but is not heard gets no more of the log, and would not know
        return roleState.isLeader()
                ? mayAct(now)
                : inSync
                        && !lost()
                        && roleState.leader() != 0
                        && peers.up(roleState.leader())
                        && now - behindSince <= timing.down();
    }

    /** Since when the leader has told of more committed than is here. */
    private void lookBehind(final long now) {
        final HeartbeatEntry e = roleState.leader() == 0 ? null : peers.entry(roleState.leader(), now);
        if (e == null || e.committed() <= log.committedIndex()) {
            behindSince = Long.MAX_VALUE;
        } else if (behindSince == Long.MAX_VALUE) {
            behindSince = now;
        }
    }

    public HeartbeatEntry entry(final long now) {
        final SyncState sync =
                recovery.isDiskLost() ? SyncState.LOST : inSync(now) ? SyncState.IN_SYNC : SyncState.CATCHING_UP;
        return new HeartbeatEntry(
                id,
                groupVersion(),
                term(),
                role(),
                sync.code(),
                log.baseIndex() + 1,
                log.syncedIndex(),
                log.syncedTerm(),
                log.committedIndex(),
                roleState.leader(),
                membership.weight(self));
    }

    // ---- set-up and recovery

    public void replay(final PackedBuffer in, final long now) {
        final long code = in.num();
        final GroupEntryKind kind = GroupEntryKind.ofCode(code);
        if (kind == null) {
            throw new IllegalStateException("group " + id + ": unknown entry kind " + code);
        }
        switch (kind) {
            case RECORD -> {
                final LogRecord logRecord = LogRecord.wrap(in.bytes(), now);
                log.replay(logRecord);
                voteStore.replayRecordOf(logRecord.term());
            }
            case TRUNCATE -> {
                dropTransfers();
                log.replayTruncate(in.num());
            }
            case VOTE -> voteStore.replay(in.num(), (int) in.num());
            case INITIALISED -> recovery.replay(in.num() == 1);
            case SNAPSHOT -> {
                dropTransfers();
                log.replaySnapshot(in.bytes(), now);
            }
        }
        log.recovered();
    }

    /** Everything of this group, for the snapshot that begins a segment, as entries to replay. */
    public List<byte[]> checkpoint() {
        final List<byte[]> entries = new ArrayList<>();
        entries.add(voteStore.entry());
        if (recovery.isInitialised()) {
            entries.add(recovery.entry());
        }
        entries.add(GroupEntryKind.SNAPSHOT.entry(id).bytes(log.snapshot()).done());
        return entries;
    }

    /** The control group's explicit founding: an empty member that knows it is new, not robbed of its disk. */
    public void found() {
        recovery.initialise(false);
    }

    /**
     * Since when the process runs that this member is part of: the promises that a former one gave were given before.
     */
    public void bornAt(final long mono) {
        election.startedAt(mono);
    }

    public void configure(final List<Member> newMembers, final int version, final boolean isFounded, final long now) {
        configure(new Membership(version, newMembers, List.of()), isFounded, now);
    }

    public void configure(final Membership placed, final boolean isFounded, final long now) {
        membership.place(placed);
        useMembership();
        election.configure(isFounded, now);
        // why: an empty folder of a founded group has lost its log; it must not vote as if it had never had one
        recovery.initialise(isFounded);
    }

    // ---- events

    /** Takes the newest membership that the log or the placement tells of. */
    private void useMembership() {
        membership.refresh(log);
        // why: the record that removes a member must not end at that member, which could then neither stand nor help
        // another with an older log
        appender.dropPendingOfOthers();
    }

    /** One step of a membership change, as a record. False, and nothing is done, where it would not be safe now. */
    public boolean change(final Membership next, final long now, final long wall) {
        if (!mayChange(next, now)) {
            return false;
        }
        append(LogRecord.MEMBERS, next.save(), now, wall);
        roleState.explain("group version " + next.version() + " with voters "
                + next.voters().stream().map(Member::node).toList() + " and learners "
                + next.learners().stream().map(Member::node).toList());
        out.note("group " + id + ": " + why());
        return true;
    }

    /** Whether a membership may follow the present one now; docs/design/control-membership.md says why. */
    private boolean mayChange(final Membership next, final long now) {
        // why: mayAct stands for an committed record of this term, without which a predecessor's change may be open
        if (!mayAct(now) || !membershipSettled() || next.version() != groupVersion() + 1) {
            return false;
        }
        final List<Member> joining = Membership.missing(next.voters(), members());
        final List<Member> leaving = Membership.missing(members(), next.voters());
        if (joining.size() + leaving.size() > 1 || Membership.find(next.voters(), self) == null) {
            return false;
        }
        if (joining.stream().anyMatch(m -> progress.ofLearner(m.node()) < log.committedIndex())) {
            return false;
        }
        // why: what is committed must not rest on the copy of the one that leaves
        return progress.replicasOfCommitted(next.voters())
                        >= Quorums.floor(next.voters().size(), toleratedLosses)
                && lease.held(next.voters(), now);
    }

    /**
     * This member is about to leave: it stands no more, and hands over to whoever has everything. True once it leaders
     * nothing.
     */
    public boolean retreat(final long now) {
        election.withdraw();
        if (roleState.isLeader() && !lease.transferring(now)) {
            handOverToAny(now);
        }
        return !roleState.isLeader();
    }

    private void handOverToAny(final long now) {
        for (final Member m : members()) {
            if (handOver(m.node(), now)) {
                return;
            }
        }
    }

    /** Manual switchover: asks a follower that has everything to stand, and does not act until that has been tried. */
    public boolean handOver(final int to, final long now) {
        if (!mayAct(now) || to == self || !membership.isVoter(to) || progress.ofVoter(to) < endIndex()) {
            return false;
        }
        lease.transfer(now);
        roleState.explain("hands over to " + to);
        out.send(to, new PeerMessage.TimeoutNow(id, term()));
        return true;
    }

    public void tick(final long now, final HeartbeatTable newTable) {
        peers.update(newTable);
        if (!membership.selfIsVoter()) {
            followOnly(now);
            return;
        }
        for (final Member m : members()) {
            final HeartbeatEntry e = peers.entry(m.node(), now);
            if (e != null) {
                voteStore.observe(e.term());
            }
        }
        if (roleState.isLeader()) {
            if (voteStore.highestTermSeen() > term()) {
                stepDown("epoch " + voteStore.highestTermSeen() + " seen");
            } else if (now - roleState.leaderSince() > timing.down() && !lease.majorityAnswers(now)) {
                stepDown("no majority answers");
            } else {
                advance(now);
                yieldForDisk(now);
            }
        }
        election.expire(now);
        final int heard = roleState.isLeader() ? (lease.held(now) ? self : 0) : liveLeader(now);
        if (heard != roleState.leader()) {
            roleState.hear(heard);
            if (heard == 0 || heard == self) {
                // why: the others wait to stand until nobody tells of a live leader, so they are told at once
                out.heartbeatNow();
            }
            if (heard != self && heard != 0) {
                election.onLeaderHeard();
            }
            pulling = false;
        }
        if (roleState.isFollower() && roleState.leader() == 0) {
            inSync = false;
            election.standIfDue(now);
        }
        lookBehind(now);
        sweepLog();
        pull(now);
        trim(now);
    }

    /** A learner copies the log; who is no member does nothing and hears no leader through this group. */
    private void followOnly(final long now) {
        if (roleState.isLeader()) {
            stepDown("is no voter any more");
        }
        roleState.becomeFollower();
        if (membership.holdsSelf()) {
            roleState.hear(liveLeader(now));
            pull(now);
        } else {
            roleState.hear(PeerView.NOBODY);
            inSync = false;
        }
    }

    /** All writes up to this number are synced. */
    public void synced(final long number, final long now) {
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
        final String recovered = recovery.synced(number, wantFull);
        if (recovered != null) {
            roleState.explain(recovered);
        }
        if (roleState.isLeader()) {
            advance(now);
        } else if (!log.hasUnsynced()) {
            pull(now);
        }
    }

    public void on(final int from, final PeerMessage message, final long now) {
        if (!concerns(from, message)) {
            return;
        }
        if (message instanceof PeerMessage.TimeoutNow m) {
            if (roleState.isFollower()
                    && from == roleState.leader()
                    && m.term() == term()
                    && !lost()
                    && !log.hasUnsynced()) {
                election.stand(now, true);
            }
        } else if (message instanceof VoteRequest m) {
            onVoteRequest(from, m, now);
        } else if (message instanceof VoteReply m) {
            onVoteReply(from, m, now);
        } else if (message instanceof Pull m) {
            onPull(from, m, now);
        } else if (message instanceof PullReply m) {
            onPullReply(from, m, now);
        }
    }

    /**
     * Whose message counts. The membership here may be older or newer than the sender's: whoever asks for a vote is
     * judged by its term and log alone, and counts the answer by its own membership; a leader is obeyed by its term.
     */
    private boolean concerns(final int from, final PeerMessage message) {
        if (message instanceof PullReply) {
            return true;
        }
        if (message instanceof VoteRequest) {
            return membership.holdsSelf();
        }
        return membership.selfIsVoter()
                && (membership.isVoter(from) || (message instanceof Pull && membership.isLearner(from)));
    }

    /** Appends a record as the leader; the caller has asked {@link #mayAct}. */
    public long append(final int kind, final byte[] body, final long now, final long wall) {
        final LogRecord logRecord =
                LogRecord.of(endIndex() + 1, term(), Math.max(log.lastStamp(), wall), kind, body, now);
        log.append(logRecord);
        appender.answerPending(now);
        return logRecord.index();
    }

    // ---- election

    /** What kept this member from standing when it last looked. */
    public String obstacle() {
        return election.obstacle();
    }

    private void onVoteRequest(final int from, final VoteRequest m, final long now) {
        if (!roleState.isLeader()) {
            voteStore.observe(m.term());
        }
        final String refusal = election.refusal(from, m, now);
        if (refusal != null) {
            out.send(from, new VoteReply(id, m.term(), false, voteStore.highestTermSeen(), refusal));
            return;
        }
        if (roleState.isLeader()) {
            stepDown("node " + from + " takes over");
        }
        election.grant(from, m.term(), now);
    }

    private void onVoteReply(final int from, final VoteReply m, final long now) {
        if (roleState.isLeader()) {
            return;
        }
        voteStore.observe(m.termSeen());
        if (election.wins(from, m)) {
            lead(now);
        }
    }

    /** Begins a leadership that was won. */
    private void lead(final long now) {
        election.win(now);
        snapshotReceiver.reset();
        progress.clear();
        lease.reset();
        appender.dropPending();
        pulling = false;
        out.note("group " + id + ": " + why());
        out.heartbeatNow();
        // why: records of earlier terms count as committed only once a record of this one is
        append(LogRecord.OPEN, new byte[0], now, 0);
    }

    private void stepDown(final String reason) {
        roleState.stepDown("stepped down: " + reason);
        appender.dropPending();
        progress.clearVoters();
        pulling = false;
        inSync = false;
        out.note("group " + id + ": " + why());
        out.heartbeatNow();
    }

    /** The leader as the heartbeats tell it, 0 for none. */
    private int liveLeader(final long now) {
        // why: a learner may have raised its term before it was removed, when nobody who counted heard of it
        return peers.leader(membership.selfIsVoter() ? term() : log.endTerm(), now);
    }

    /** Whether a majority has answered heartbeats of this leadership that were sent at this time or later. */
    public boolean majoritySince(final long since) {
        return lease.majoritySince(since);
    }

    // ---- replication

    private void pull(final long now) {
        if (roleState.isLeader() || members().isEmpty() || log.hasUnsynced()) {
            return;
        }
        final int source = source(now);
        if (source == 0 || (pulling && source == pullSource && now - pullSentAt < timing.pullDeadline())) {
            return;
        }
        sendPull(source, now);
    }

    private void sendPull(final int source, final long now) {
        pulling = true;
        pullSource = source;
        pullSentAt = now;
        final long next = wantFull ? -1 : endIndex() + 1;
        out.send(
                source,
                new Pull(
                        id,
                        groupVersion(),
                        term(),
                        next,
                        log.endTerm(),
                        log.syncedIndex(),
                        log.syncedTerm(),
                        recovery.needsTarget() ? Pull.UNKNOWN : log.committedIndex(),
                        lost(),
                        log.digestAt(log.syncedIndex()),
                        snapshotReceiver.sum(),
                        snapshotReceiver.offset()));
    }

    /** The leader while it can be reached; else a follower that still hears it. */
    private int source(final long now) {
        if (roleState.leader() != 0 && peers.up(roleState.leader())) {
            return roleState.leader();
        }
        for (final Member m : members()) {
            final HeartbeatEntry e = peers.entry(m.node(), now);
            if (e != null
                    && peers.up(m.node())
                    && e.leaderHeard() != 0
                    && e.leaderHeard() != self
                    && e.sync() == SYNC_PEER
                    && e.term() >= term()) {
                return m.node();
            }
        }
        return 0;
    }

    private void onPull(final int from, final Pull pull, final long now) {
        final boolean learner = !membership.isVoter(from);
        if (pull.term() > term() && !learner) {
            voteStore.observe(pull.term());
            if (roleState.isLeader()) {
                stepDown("sibling " + from + " is in epoch " + pull.term());
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
        } else if (!inSync(now)) {
            return;
        }
        appender.answer(from, pull, now);
    }

    /**
     * Whether the reply is older than a membership that its sender must know: one that is committed, or that was made
     * in this term. A record of an earlier leader that was never committed says nothing of this one.
     */
    private boolean olderGroup(final PullReply m) {
        return m.groupVersion() < groupVersion() && (membershipSettled() || log.termAt(membership.index()) == m.term());
    }

    private void onPullReply(final int from, final PullReply m, final long now) {
        // why: the fence: whoever acts for an older term or an older group is not obeyed, however late it wakes
        final boolean older = !membership.selfIsVoter() ? m.term() < log.endTerm() : m.term() < term();
        if (older || (m.term() == term() && olderGroup(m)) || roleState.isLeader() || from != pullSource) {
            return;
        }
        if (m.term() > term()) {
            if (roleState.isCandidate()) {
                roleState.becomeFollower();
            }
            voteStore.enter(m.term());
        }
        pulling = false;
        // why: a late reply speaks of a log that may have grown since; cutting by it would take back acknowledged
        // records
        final boolean ofThisLog =
                wantFull ? m.askedIndex() < 0 : m.askedIndex() == endIndex() && m.askedTerm() == log.endTerm();
        if (m.kind() != RECORDS && !ofThisLog) {
            pull(now);
            return;
        }
        long matched = -1;
        switch (m.kind()) {
            case FULL -> {
                // why: a follower's log may lack what this member's counted for; whoever is mended takes the leader's
                if (m.snapshot().length == 0
                        || (m.standing() == PullReply.FOLLOWER && recovery.isDamaged())
                        || (m.standing() == PullReply.FOLLOWER
                                && !lost()
                                && !wantFull
                                && endIndex() > 0
                                && log.committedIndex() > 0)) {
                    return;
                }
                final byte[] snapshot = snapshotReceiver.take(m);
                if (snapshot == null) {
                    break;
                }
                dropTransfers();
                sweep.restart();
                log.install(snapshot, now);
                wantFull = false;
                matched = endIndex();
                roleState.explain("full sync from " + from + " up to " + endIndex());
                out.note("group " + id + ": " + why());
            }
            case MISMATCH -> {
                if (m.standing() == PullReply.FOLLOWER) {
                    return;
                }
                if ((m.tryIndex() < log.committedIndex() && m.tryIndex() < log.baseIndex())
                        || (m.tryIndex() <= log.baseIndex() && endIndex() == log.baseIndex())) {
                    wantFull = true;
                } else if (m.tryIndex() < log.committedIndex()) {
                    out.error("group " + id + ": master " + from + " lacks accepted records after " + m.tryIndex());
                    return;
                } else {
                    dropTransfers();
                    log.truncate(m.tryIndex());
                    roleState.explain("diverged tail cut to " + m.tryIndex());
                    out.note("group " + id + ": " + why());
                }
            }
            default -> {
                snapshotReceiver.reset();
                matched = take(m, now);
            }
        }
        if (m.kind() != MISMATCH && matched >= 0) {
            log.commit(Math.min(m.committed(), matched));
            if (!inSync && matched >= m.committed()) {
                out.heartbeatNow();
            }
            inSync = matched >= m.committed();
            if (m.standing() == PullReply.ACTING_LEADER && recovery.needsTarget()) {
                recovery.target(m.committed());
            }
            appender.answerPending(now);
        }
        if (!log.hasUnsynced()) {
            synced(0, now);
            pull(now);
        }
    }

    /** Appends what follows; returns up to where this log is the source's, or -1 where the reply fits another log. */
    private long take(final PullReply m, final long now) {
        // why: a late reply may belong to a log that was cut since; what came after the cut must not be called
        // committed
        // by it
        if (m.askedIndex() < log.baseIndex()
                || m.askedIndex() > endIndex()
                || log.termAt(m.askedIndex()) != m.askedTerm()) {
            return -1;
        }
        long matched = m.askedIndex();
        for (final LogRecord logRecord : m.records()) {
            if (logRecord.index() != matched + 1
                    || (logRecord.index() <= endIndex() && log.termAt(logRecord.index()) != logRecord.term())) {
                break;
            }
            if (logRecord.index() > endIndex()) {
                log.append(LogRecord.wrap(logRecord.bytes(), now));
            }
            matched = logRecord.index();
        }
        return matched;
    }

    /** Whether so much waits for this member's own disk that nothing more is to be appended. */
    public boolean diskBacklogged() {
        return log.syncBacklogged();
    }

    /** A leader whose disk takes nothing hands over to a follower that has everything, if there is one. */
    private void yieldForDisk(final long now) {
        // why: without a majority among the others none of them can win, and this one had better go on
        final boolean othersCanElect = active(now) - 1 >= membership.majority();
        if (election.diskLag(now) > timing.diskPatience() && othersCanElect && !lease.transferring(now)) {
            handOverToAny(now);
        }
    }

    /** No snapshot under way, in or out, is of the log as it is from here on. */
    private void dropTransfers() {
        appender.dropSnapshot();
        snapshotReceiver.reset();
    }

    private void advance(final long now) {
        if (!lease.held(now)) {
            return;
        }
        final long index = progress.committable(floor(), roleState.openIndex(), term());
        if (index > log.committedIndex()) {
            if (log.committedIndex() < roleState.openIndex()) {
                // why: whoever only watches learns at once that it may be read from, and not with its own next
                // heartbeat
                out.heartbeatNow();
            }
            log.commit(index);
            appender.answerPending(now);
        }
    }

    private void trim(final long now) {
        if (now < nextTrim) {
            return;
        }
        nextTrim = now + timing.heartbeat();
        appender.trim(now);
    }

    /** A digest of the whole log up to there; -1 where this copy does not reach. */
    public long chainAt(final long index) {
        return log.digestAt(index);
    }

    // ---- repair

    /**
     * Whether the record is as it was made. Where not, this copy is out and is mended from another, and nothing of it
     * is served.
     */
    public boolean whole(final long index) {
        if (logRecord(index).whole()) {
            return true;
        }
        if (!lost()) {
            recovery.damage();
            snapshotReceiver.reset();
            wantFull = true;
            inSync = false;
            if (roleState.isLeader()) {
                stepDown("record " + index + " is damaged");
            }
            out.note("group " + id + ": record " + index + " is damaged; the copy is mended");
        }
        return false;
    }

    /** Finds damage that no read has met. */
    private void sweepLog() {
        final long damagedIndex = sweep.nextDamaged();
        if (damagedIndex != LogSweep.NONE) {
            whole(damagedIndex);
        }
    }
}
