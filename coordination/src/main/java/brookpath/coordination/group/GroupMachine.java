package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * One member of one replication group, as other modules call it: elections by terms and votes, a log that followers
 * pull from the leader, a commit rule with a floor of replicas, a lease for the leader, and the recovery of a member
 * that has lost its disk. Takes (event, now) and adds actions; it has no clock and no I/O. Times are of the steady
 * clock, in milliseconds, unless they are called wall. Not thread-safe: the owner of the group calls it from one
 * thread.
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
    private final int toleratedLosses;
    private final GroupStateMachine machine;

    /**
     * @param toleratedLosses how many replicas may be lost at once without the loss of a committed record
     * @param seed of the random back-off between elections
     */
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
        this.toleratedLosses = toleratedLosses;
        machine = new GroupStateMachine(id, self, timing, toleratedLosses, seed, states, promises, out);
    }

    // ---- what others may read

    /** The group's id. */
    public int id() {
        return id;
    }

    /** The role by its code on the wire ({@link GroupRole}). */
    public int role() {
        return machine.roleState.role().code();
    }

    /** The term that this member is in. */
    public long term() {
        return machine.voteStore.term();
    }

    /** Up to where the log is known to be committed. */
    public long committed() {
        return machine.log.committedIndex();
    }

    /** The index of the last record. */
    public long endIndex() {
        return machine.log.endIndex();
    }

    /** The index of the last record that was trimmed, 0 for none. */
    public long baseIndex() {
        return machine.log.baseIndex();
    }

    /** Up to where this member's own disk has synced the log. */
    public long syncedIndex() {
        return machine.log.syncedIndex();
    }

    /** Where this leader opened its term, 0 while it has none. */
    public long openIndex() {
        return machine.roleState.openIndex();
    }

    /** The version of the membership that counts now. */
    public int groupVersion() {
        return machine.membership.version();
    }

    /** The members that vote. */
    public List<Member> members() {
        return machine.membership.voters();
    }

    /** The membership that counts now. */
    public Membership membership() {
        return machine.membership.current();
    }

    /** Whether the log itself tells who the members are, rather than whoever founded the group. */
    public boolean tellsMembers() {
        return machine.log.baseMembership() != null || machine.log.newestMembershipRecord() != null;
    }

    /** Whether the newest membership is committed, so that a next step may follow. */
    public boolean membershipSettled() {
        return machine.membershipChange.isSettled();
    }

    /** How far a learner's replica is known to be synced. */
    public long learnt(final int node) {
        return machine.progress.ofLearner(node);
    }

    /** How far a voter's replica is known to be synced, as the leader counts it; -1 where nothing is known. */
    public long copySynced(final int node) {
        return machine.progress.ofVoter(node);
    }

    /** Where the newest membership stands in the log; 0 where the log tells none. */
    public long membershipIndex() {
        return machine.membership.index();
    }

    /** Nothing is under way that a timer would have to drive on. */
    public boolean calm() {
        return machine.roleState.isLeader()
                ? machine.roleState.openIndex() > 0 && machine.log.committedIndex() == endIndex()
                : machine.roleState.isFollower() && machine.roleState.leader() != 0 && !lost();
    }

    /** The state after the last record, committed or not. */
    public LogState live() {
        return machine.log.live();
    }

    /** The state at the base of the log. */
    public LogState base() {
        return machine.log.base();
    }

    /** Whether this replica does not count and is to be rebuilt from another. */
    public boolean lost() {
        return machine.recovery.isLost();
    }

    /** Why the last transition happened, for the status page. */
    public String why() {
        return machine.roleState.reason();
    }

    /** The leader as this member sees it, 0 for none. */
    public int leaderHeard() {
        return machine.roleState.leader();
    }

    /** The record at an index after the base. */
    public LogRecord logRecord(final long index) {
        return machine.log.logRecord(index);
    }

    /** How many replicas a committed record has at least. */
    public int floor() {
        return floor(members().size());
    }

    /** How many replicas a committed record has at least, in a group of so many voters. */
    public int floor(final int voters) {
        return Quorums.floor(voters, toleratedLosses);
    }

    /** Whether the node, a voter or a learner, is this leader itself or has answered it within the lease. */
    public boolean follows(final int node, final long now) {
        return node == self || machine.lease.answered(node, now);
    }

    /** How many voters are known to have synced the log up to the index. */
    public int copies(final long index) {
        return machine.progress.replicas(index);
    }

    /** How many voters are active, this one included. */
    public int active(final long now) {
        return 1 + machine.peers.active(members(), now);
    }

    /** May this member act as the leader just now? Asked again immediately before each response. */
    public boolean mayAct(final long now) {
        return machine.lease.mayAct(now);
    }

    /** Has a follower the committed position of a leader that it hears? */
    public boolean inSync(final long now) {
        return machine.isInSync(now);
    }

    /** What this member tells of the group in its heartbeats. */
    public HeartbeatEntry entry(final long now) {
        final SyncState sync = machine.recovery.isDiskLost()
                ? SyncState.LOST
                : inSync(now) ? SyncState.IN_SYNC : SyncState.CATCHING_UP;
        return new HeartbeatEntry(
                id,
                groupVersion(),
                term(),
                role(),
                sync.code(),
                machine.log.baseIndex() + 1,
                machine.log.syncedIndex(),
                machine.log.syncedTerm(),
                machine.log.committedIndex(),
                machine.roleState.leader(),
                machine.membership.weight(self));
    }

    /** What kept this member from standing when it last looked, empty for nothing. */
    public String obstacle() {
        return machine.election.obstacle();
    }

    /** Whether a majority has answered heartbeats of this leadership that were sent at this time or later. */
    public boolean majoritySince(final long since) {
        return machine.lease.majoritySince(since);
    }

    /** Whether so much waits for this member's own disk that nothing more is to be appended. */
    public boolean diskBacklogged() {
        return machine.log.syncBacklogged();
    }

    /** A digest of the whole log up to the index; -1 where this replica does not reach. */
    public long chainAt(final long index) {
        return machine.log.digestAt(index);
    }

    // ---- set-up and recovery

    /**
     * Takes an entry from the disk, at the start; the group's id was read from it.
     *
     * @throws IllegalStateException where its kind is not known or a record does not follow
     */
    public void replay(final PackedBuffer in, final long now) {
        final long code = in.num();
        final GroupEntryKind kind = GroupEntryKind.ofCode(code);
        if (kind == null) {
            throw new IllegalStateException("group " + id + ": unknown entry kind " + code);
        }
        switch (kind) {
            case RECORD -> {
                final LogRecord logRecord = LogRecord.wrap(in.bytes(), now);
                machine.log.replay(logRecord);
                machine.voteStore.replayRecordOf(logRecord.term());
            }
            case TRUNCATE -> machine.log.replayTruncate(in.num());
            case VOTE -> machine.voteStore.replay(in.num(), (int) in.num());
            case INITIALISED -> machine.recovery.replay(in.num() == 1);
            case SNAPSHOT -> machine.log.replaySnapshot(in.bytes(), now);
        }
        machine.log.recovered();
    }

    /** Everything of this group, for the snapshot that begins a segment, as entries to replay. */
    public List<byte[]> checkpoint() {
        final List<byte[]> entries = new ArrayList<>();
        entries.add(machine.voteStore.entry());
        if (machine.recovery.isInitialised()) {
            entries.add(machine.recovery.entry());
        }
        entries.add(
                GroupEntryKind.SNAPSHOT.entry(id).bytes(machine.log.snapshot()).done());
        return entries;
    }

    /** The control group's explicit founding: an empty member that knows it is new, not robbed of its disk. */
    public void found() {
        machine.recovery.initialise(false);
    }

    /**
     * Since when the process runs that this member is part of: the promises that a former one gave were given before.
     */
    public void bornAt(final long mono) {
        machine.election.startedAt(mono);
    }

    /** The same with voters alone. */
    public void configure(final List<Member> newMembers, final int version, final boolean isFounded, final long now) {
        configure(new Membership(version, newMembers, List.of()), isFounded, now);
    }

    /**
     * Takes the membership that the placement tells of.
     *
     * @param isFounded whether the group was founded before, so that an empty disk is a lost one
     */
    public void configure(final Membership placed, final boolean isFounded, final long now) {
        machine.configure(placed, isFounded, now);
    }

    // ---- events

    /** A timer: takes the newest heartbeat table, and does what is due. */
    public void tick(final long now, final HeartbeatTable table) {
        machine.tick(now, table);
    }

    /** All writes up to this number are synced. */
    public void synced(final long number, final long now) {
        machine.synced(number, now);
    }

    /** A message of another member. */
    public void on(final int from, final PeerMessage message, final long now) {
        machine.on(from, message, now);
    }

    /** What was asked of the node may never have arrived. */
    public void sessionLost(final int node) {
        machine.fetcher.sessionLost(node);
    }

    /** Appends a record as the leader, and returns its index; the caller has asked {@link #mayAct}. */
    public long append(final int kind, final byte[] body, final long now, final long wall) {
        return machine.append(kind, body, now, wall);
    }

    /** One step of a membership change, as a record. False, and nothing is done, where it would not be safe now. */
    public boolean change(final Membership next, final long now, final long wall) {
        return machine.change(next, now, wall);
    }

    /**
     * This member is about to leave: it stands no more, and transfers what it leads to whoever has everything. True
     * once it leads nothing.
     */
    public boolean retreat(final long now) {
        return machine.transfer.withdraw(now);
    }

    /** Manual switchover: asks a follower that has everything to stand, and does not act until that has been tried. */
    public boolean handOver(final int to, final long now) {
        return machine.transfer.to(to, now);
    }

    /**
     * Whether the record is as it was made. Where not, this replica does not count and is rebuilt from another, and
     * nothing of it is served.
     */
    public boolean whole(final long index) {
        return machine.isIntact(index);
    }
}
