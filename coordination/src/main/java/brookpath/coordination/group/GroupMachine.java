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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
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

    /** So many bytes of records go in one reply: a slow link must not keep the heartbeats behind it for long. */
    private static final int REPLY_BYTES = 64 << 10;

    private static final int DEFERENCE = 3;

    /** A message that goes out once a write is synced. */
    private record Waiting(long write, int node, PeerMessage message, long since) {}

    private final int id;
    private final HeartbeatPromises promises;
    private final int self;
    private final TimingBounds timing;
    private final int toleratedLosses;
    private final RaftLog log;
    private final Actions out;
    private final SplittableRandom random;

    private final GroupMembership membership;
    private boolean founded;
    private final PeerView peers;
    private final LeaderLease lease;
    private long startedAt = Long.MIN_VALUE;

    private final ReplicaRecovery recovery;
    private final VoteStore voteStore;

    private final LogSweep sweep;
    private final ArrayDeque<Waiting> afterSync = new ArrayDeque<>();

    private final RoleState roleState;
    private final ReplicaProgress progress;
    private final TreeMap<Integer, Pull> held = new TreeMap<>();

    private final TreeSet<Integer> votes = new TreeSet<>();
    private long goEndsAt;
    private long nextGo;
    private int lostGoes;
    private String obstacle = "";
    private long deferUntil = Long.MIN_VALUE / 2;
    private boolean retreats;
    private long nextTrim = Long.MIN_VALUE;

    private int pullSource;
    private long pullSentAt;
    private boolean pulling;
    private boolean wantFull;
    private final SnapshotSender snapshotSender;
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
        this.promises = promises;
        this.id = id;
        this.self = self;
        this.timing = timing;
        this.toleratedLosses = toleratedLosses;
        this.out = out;
        roleState = new RoleState(self);
        membership = new GroupMembership(self);
        voteStore = new VoteStore(id, out);
        peers = new PeerView(id, self);
        lease = new LeaderLease(id, self, timing, membership, voteStore, peers);
        log = new RaftLog(id, states, this::useMembership, out);
        recovery = new ReplicaRecovery(id, log, out);
        sweep = new LogSweep(log);
        progress = new ReplicaProgress(self, membership, log);
        snapshotSender = new SnapshotSender(timing.recoverMs());
        random = new SplittableRandom(seed * 31 + id * 7919L + self);
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
        return roleState.isLeader()
                && roleState.openIndex() > 0
                && log.committedIndex() >= roleState.openIndex()
                && lease.held(now)
                && !lease.transferring(now);
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
        final long code = in.getLong();
        final GroupEntryKind kind = GroupEntryKind.ofCode(code);
        if (kind == null) {
            throw new IllegalStateException("group " + id + ": unknown entry kind " + code);
        }
        switch (kind) {
            case RECORD -> {
                final LogRecord logRecord = LogRecord.wrap(in.getBytes(), now);
                log.replay(logRecord);
                voteStore.replayRecordOf(logRecord.term());
            }
            case TRUNCATE -> {
                dropTransfers();
                log.replayTruncate(in.getLong());
            }
            case VOTE -> voteStore.replay(in.getLong(), (int) in.getLong());
            case INITIALISED -> recovery.replay(in.getLong() == 1);
            case SNAPSHOT -> {
                dropTransfers();
                log.replaySnapshot(in.getBytes(), now);
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
        entries.add(GroupEntryKind.SNAPSHOT.entry(id).putBytes(log.snapshot()).toByteArray());
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
        startedAt = mono;
    }

    public void configure(final List<Member> newMembers, final int version, final boolean isFounded, final long now) {
        configure(new Membership(version, newMembers, List.of()), isFounded, now);
    }

    public void configure(final Membership placed, final boolean isFounded, final long now) {
        membership.place(placed);
        useMembership();
        // why: whoever has voted in a term is bound by no leader of an earlier one, also after a restart
        promises.raise(id, term(), self, true, now);
        founded = isFounded;
        if (startedAt == Long.MIN_VALUE) {
            startedAt = now;
        }
        // why: an empty folder of a founded group has lost its log; it must not vote as if it had never had one
        recovery.initialise(founded);
    }

    // ---- events

    /** Takes the newest membership that the log or the placement tells of. */
    private void useMembership() {
        membership.refresh(log);
        // why: the record that removes a member must not end at that member, which could then neither stand nor help
        // another with an older log
        held.keySet().removeIf(node -> !membership.holds(node));
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
        retreats = true;
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
        if (roleState.isCandidate() && now >= goEndsAt) {
            roleState.becomeFollower();
            lostGoes++;
            nextGo = now + spread();
            roleState.explain("go for epoch " + term() + " lost");
        }
        final int heard = roleState.isLeader() ? (lease.held(now) ? self : 0) : liveLeader(now);
        if (heard != roleState.leader()) {
            roleState.hear(heard);
            if (heard == 0 || heard == self) {
                // why: the others wait to stand until nobody tells of a live leader, so they are told at once
                out.heartbeatNow();
            }
            if (heard != self && heard != 0) {
                lostGoes = 0;
            }
            pulling = false;
        }
        if (roleState.isFollower() && roleState.leader() == 0) {
            inSync = false;
            if (now >= nextGo && mayStand(now)) {
                stand(now, false);
            }
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
        while (!afterSync.isEmpty() && afterSync.peek().write <= number) {
            final Waiting w = afterSync.poll();
            if (w.node == self) {
                onVoteReply(self, (VoteReply) w.message, now);
            } else {
                out.send(w.node, w.message);
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
                stand(now, true);
            }
        } else if (message instanceof VoteRequest m) {
            onVoteAsk(from, m, now);
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
        serveHeld(now);
        return logRecord.index();
    }

    // ---- election

    private boolean mayStand(final long now) {
        obstacle = obstacle(now);
        return obstacle.isEmpty();
    }

    /** What keeps this member from standing, empty for nothing. */
    private String obstacle(final long now) {
        if (lost() || !recovery.isInitialised()) {
            return "its copy is being rebuilt";
        }
        if (retreats) {
            return "it is about to leave";
        }
        if (now - startedAt <= timing.down()) {
            return "it has just started";
        }
        if (diskLag(now) > timing.diskPatience()) {
            return "its disk takes nothing";
        }
        int answering = 1;
        int better = 0;
        for (final Member m : members()) {
            if (m.node() == self) {
                continue;
            }
            final HeartbeatEntry e = peers.entry(m.node(), now);
            if (e == null || e.sync() == SYNC_LOST) {
                continue;
            }
            if (e.role() == LEADER && e.term() >= term()) {
                return "node " + m.node() + " is the master";
            }
            if (e.leaderHeard() != 0 && e.leaderHeard() != self) {
                return "node " + m.node() + " hears master " + e.leaderHeard();
            }
            // why: one that is heard but does not answer is down; waiting for its longer log would wait for ever, and
            // the
            // voters' own logs decide anyway
            if (peers.up(m.node())) {
                if (RaftLog.newer(e.endTerm(), e.endIndex(), log.syncedTerm(), log.syncedIndex())) {
                    return "node " + m.node() + " has a newer log";
                }
                answering++;
                if (e.endIndex() == log.syncedIndex()
                        && e.endTerm() == log.syncedTerm()
                        && membership.outranks(m.node(), self)) {
                    better++;
                }
            }
        }
        final int needed = founded ? membership.majority() : members().size();
        if (answering < needed) {
            return "only " + answering + " of " + needed + " answer";
        }
        // why: the tie order says who wins, so the lower ranks give the higher ones a head start, for a few goes
        return lostGoes >= DEFERENCE || better == 0 || deferred(now, better) ? "" : "gives a higher rank a head start";
    }

    /** What kept this member from standing when it last looked. */
    public String obstacle() {
        return obstacle;
    }

    private boolean deferred(final long now, final int better) {
        if (now - deferUntil > timing.down()) {
            deferUntil = now + better * timing.goDeadline();
        }
        return now >= deferUntil;
    }

    private void stand(final long now, final boolean manual) {
        final long next = voteStore.highestTermSeen() + 1;
        if (!promises.raise(id, next, self, manual, now)) {
            obstacle = "it has just answered a master's beat";
            return;
        }
        final long write = voteStore.vote(next, self);
        votes.clear();
        goEndsAt = now + timing.goDeadline();
        roleState.becomeCandidate("stands for epoch " + term());
        for (final Member m : members()) {
            afterSync.add(new Waiting(
                    write,
                    m.node(),
                    m.node() == self
                            ? new VoteReply(id, term(), true, term(), "own vote")
                            : new VoteRequest(
                                    id,
                                    groupVersion(),
                                    term(),
                                    log.syncedIndex(),
                                    log.syncedTerm(),
                                    membership.weight(self),
                                    lostGoes,
                                    manual),
                    now));
        }
    }

    private void onVoteAsk(final int from, final VoteRequest m, final long now) {
        if (!roleState.isLeader()) {
            voteStore.observe(m.term());
        }
        String refusal = refusal(from, m, now);
        if (refusal == null && !promises.raise(id, m.term(), from, m.manual(), now)) {
            refusal = "has just answered a master's beat";
        }
        if (refusal != null) {
            out.send(from, new VoteReply(id, m.term(), false, voteStore.highestTermSeen(), refusal));
            return;
        }
        if (roleState.isLeader()) {
            stepDown("node " + from + " takes over");
        }
        // why: a vote that is forgotten after a crash could be given twice
        final long write = voteStore.vote(m.term(), from);
        roleState.becomeFollower();
        nextGo = now + timing.down();
        roleState.explain("voted for " + from + " in epoch " + term());
        afterSync.add(new Waiting(write, from, new VoteReply(id, term(), true, term(), "granted"), now));
    }

    private String refusal(final int from, final VoteRequest m, final long now) {
        if (recovery.isDiskLost() || !recovery.isInitialised()) {
            return "copy is being rebuilt";
        }
        if (now - startedAt <= timing.down()) {
            // why: before the restart it may have answered a leader's heartbeat whose lease still runs
            return "just started";
        }
        if (m.groupVersion() < groupVersion() && m.endTerm() <= log.syncedTerm()) {
            return "older group version";
        }
        if (!voteStore.mayVote(m.term(), from)) {
            return "epoch " + term() + " is taken";
        }
        if (roleState.isLeader() && (!m.manual() || !lease.transferring(now))) {
            return "master lives";
        }
        // why: the table's indexes may be stale; the voter's own log as it is now is what counts
        if (RaftLog.newer(log.syncedTerm(), log.syncedIndex(), m.endTerm(), m.endIndex())) {
            return "own log is newer";
        }
        if (m.endIndex() == log.syncedIndex()
                && m.endTerm() == log.syncedTerm()
                && membership.outranks(self, from)
                && m.attempts() < DEFERENCE
                && !m.manual()
                && mayStand(now)) {
            nextGo = now;
            return "ranks higher and stands itself";
        }
        return null;
    }

    private void onVoteReply(final int from, final VoteReply m, final long now) {
        if (roleState.isLeader()) {
            return;
        }
        voteStore.observe(m.termSeen());
        if (!roleState.isCandidate() || m.term() != term() || !m.granted()) {
            return;
        }
        votes.add(from);
        if (votes.size() < (founded ? membership.majority() : members().size())) {
            return;
        }
        // why: records of earlier terms count as committed only once a record of this one is
        roleState.becomeLeader(endIndex() + 1, "won epoch " + term() + " with votes of " + votes, now);
        snapshotReceiver.reset();
        lostGoes = 0;
        progress.clear();
        lease.reset();
        held.clear();
        pulling = false;
        out.note("group " + id + ": " + why());
        out.heartbeatNow();
        append(LogRecord.OPEN, new byte[0], now, 0);
    }

    private void stepDown(final String reason) {
        roleState.stepDown("stepped down: " + reason);
        held.clear();
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

    private long spread() {
        return (long) (timing.goDeadline() * (0.2 + random.nextDouble() * Math.min(4, lostGoes)));
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

    private void onPull(final int from, final Pull m, final long now) {
        final boolean learner = !membership.isVoter(from);
        if (m.term() > term() && !learner) {
            voteStore.observe(m.term());
            if (roleState.isLeader()) {
                stepDown("sibling " + from + " is in epoch " + m.term());
            }
            return;
        }
        if (roleState.isLeader()
                && !m.lost()
                && log.termAt(m.syncedIndex()) == m.syncedTerm()
                && chainAt(m.syncedIndex()) != m.chain()) {
            // why: the same (term, index) must mean the same log; where it does not, the copy is no copy and is sent
            // whole
            progress.forget(from);
            held.remove(from);
            out.note("group " + id + ": the copy of node " + from + " differs at or before " + m.syncedIndex()
                    + " and is sent whole");
            sendWhole(from, m, mayAct(now) ? PullReply.ACTING_LEADER : PullReply.LEADER, now);
            return;
        }
        if (roleState.isLeader()) {
            if (learner) {
                // why: a learner's copy is looked at to see when it may vote, and counts for nothing until then; one
                // that stood in vain in a later term, before it was removed, may not vote in this one
                progress.forgetVoter(from);
                final boolean mayVote = !m.lost() && m.term() <= term();
                progress.learnerSynced(
                        from,
                        mayVote && log.termAt(m.syncedIndex()) == m.syncedTerm()
                                ? m.syncedIndex()
                                : ReplicaProgress.UNKNOWN);
            } else if (m.lost()) {
                progress.forgetVoter(from);
            } else if (m.term() == term()
                    && m.syncedIndex() > log.baseIndex()
                    && m.syncedIndex() <= endIndex()
                    && log.termAt(m.syncedIndex()) == m.syncedTerm()) {
                // why: the same (term, index) means the same log up to there, so this copy holds everything before it
                // too
                progress.voterSynced(from, m.syncedIndex());
                advance(now);
            }
        } else if (!inSync(now)) {
            return;
        }
        held.remove(from);
        if (!reply(from, m, now)) {
            held.put(from, m);
        }
    }

    private boolean reply(final int to, final Pull m, final long now) {
        final long prev = m.nextIndex() - 1;
        // why: only a leader that has opened its term knows everything that was committed before it
        final int lead =
                mayAct(now) ? PullReply.ACTING_LEADER : roleState.isLeader() ? PullReply.LEADER : PullReply.FOLLOWER;
        if (m.nextIndex() < 0 || prev < log.baseIndex()) {
            sendWhole(to, m, lead, now);
            return true;
        }
        if (prev > endIndex() || log.termAt(prev) != m.prevTerm()) {
            long tryIndex = Math.min(endIndex(), prev - 1);
            while (tryIndex > log.baseIndex() && log.termAt(tryIndex) > m.prevTerm()) {
                tryIndex--;
            }
            out.send(
                    to,
                    new PullReply(
                            id,
                            groupVersion(),
                            term(),
                            MISMATCH,
                            lead,
                            log.committedIndex(),
                            prev,
                            m.prevTerm(),
                            tryIndex,
                            new byte[0],
                            List.of()));
            return true;
        }
        final List<LogRecord> part = new ArrayList<>();
        int bytes = 0;
        for (long index = m.nextIndex(); index <= endIndex() && bytes < REPLY_BYTES; index++) {
            if (!whole(index)) {
                return true;
            }
            part.add(logRecord(index));
            bytes += logRecord(index).bytes().length;
        }
        // why: a member that rebuilds its copy has to hear from an acting leader how far, also where nothing follows
        final boolean news =
                m.committed() == Pull.UNKNOWN ? lead == PullReply.ACTING_LEADER : m.committed() < log.committedIndex();
        if (part.isEmpty() && !news && m.term() >= term()) {
            return false;
        }
        out.send(
                to,
                new PullReply(
                        id,
                        groupVersion(),
                        term(),
                        RECORDS,
                        lead,
                        log.committedIndex(),
                        prev,
                        m.prevTerm(),
                        0,
                        new byte[0],
                        part));
        return true;
    }

    /** Sends the next part of this copy's snapshot, which is built for the first who asks and kept for the others. */
    private void sendWhole(final int to, final Pull m, final int lead, final long now) {
        if (!snapshotSender.serves(m.snapshotSum(), Math.min(m.syncedIndex(), endIndex()))) {
            for (long index = log.baseIndex() + 1; index <= endIndex(); index++) {
                if (!whole(index)) {
                    return;
                }
            }
            snapshotSender.hold(log.snapshot(), endIndex(), now);
        }
        final SnapshotSender.Part part = snapshotSender.part(m.snapshotSum(), m.snapshotOffset(), now);
        out.send(
                to,
                new PullReply(
                        id,
                        groupVersion(),
                        term(),
                        FULL,
                        lead,
                        log.committedIndex(),
                        m.nextIndex() - 1,
                        m.prevTerm(),
                        0,
                        part.bytes(),
                        List.of(),
                        part.sum(),
                        part.total(),
                        part.offset()));
    }

    private void serveHeld(final long now) {
        held.entrySet().removeIf(h -> reply(h.getKey(), h.getValue(), now));
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
                    out.grave("group " + id + ": master " + from + " lacks accepted records after " + m.tryIndex());
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
            serveHeld(now);
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

    /** How long the oldest write that this group waits for has been under way. */
    private long diskLag(final long now) {
        final long votes = afterSync.isEmpty() ? 0 : now - afterSync.peek().since;
        return Math.max(log.syncLag(now), votes);
    }

    /** Whether so much waits for this member's own disk that nothing more is to be appended. */
    public boolean diskBacklogged() {
        return log.syncBacklogged();
    }

    /** A leader whose disk takes nothing hands over to a follower that has everything, if there is one. */
    private void yieldForDisk(final long now) {
        // why: without a majority among the others none of them can win, and this one had better go on
        final boolean othersCanElect = active(now) - 1 >= membership.majority();
        if (diskLag(now) > timing.diskPatience() && othersCanElect && !lease.transferring(now)) {
            handOverToAny(now);
        }
    }

    /** No snapshot under way, in or out, is of the log as it is from here on. */
    private void dropTransfers() {
        snapshotSender.drop();
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
            serveHeld(now);
        }
    }

    private void trim(final long now) {
        if (now < nextTrim) {
            return;
        }
        nextTrim = now + timing.heartbeat();
        snapshotSender.expire(now);
        log.trim(snapshotSender.trimLimit(), now);
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
        if (logRecord(index).isIntact()) {
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
