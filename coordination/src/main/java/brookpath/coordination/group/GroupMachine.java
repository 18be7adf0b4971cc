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
    /** The codes of {@link GroupRole}. */
    public static final int FOLLOWER = HeartbeatEntry.FOLLOWER;

    public static final int CANDIDATE = HeartbeatEntry.CANDIDATE;
    public static final int LEADER = HeartbeatEntry.LEADER;

    /** The codes of {@link SyncState}. */
    public static final int SYNC_PEER = 0;

    public static final int SYNC_CATCH_UP = 1;
    public static final int SYNC_LOST = 2;

    private final int id;
    private final int self;
    private final int toleratedLosses;
    private final GroupStateMachine machine;

    /**
     * A follower with an empty log; {@link #replay} restores what is on disk, {@link #configure} sets the members.
     *
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

    /** The highest index that is known to be committed. */
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

    /** The highest index that this member's own disk has synced. */
    public long syncedIndex() {
        return machine.log.syncedIndex();
    }

    /** The index at which this leader opened its term, 0 while it leads nothing. */
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

    /** Whether the log itself holds a membership, so that the members need not be given from outside. */
    public boolean hasMembershipInLog() {
        return machine.log.baseMembership() != null || machine.log.newestMembershipRecord() != null;
    }

    /** Whether the newest membership is committed, so that a next step may follow. */
    public boolean membershipSettled() {
        return machine.membershipChange.isSettled();
    }

    /** The index up to which a learner's replica is known to be synced; -1 where nothing is known. */
    public long learnerSyncedIndex(final int node) {
        return machine.progress.ofLearner(node);
    }

    /**
     * The index up to which a voter's replica is known to be synced, as the leader counts it; -1 where nothing is
     * known.
     */
    public long voterSyncedIndex(final int node) {
        return machine.progress.ofVoter(node);
    }

    /** The index of the newest membership record; 0 where the log keeps none. */
    public long membershipIndex() {
        return machine.membership.index();
    }

    /** Whether nothing is in progress that needs timer events, so that they may come less often. */
    public boolean isIdle() {
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

    /** The record at an index after the base, up to the end of the log. */
    public LogRecord logRecord(final long index) {
        return machine.log.logRecord(index);
    }

    /** How many replicas a committed record has at least. */
    public int floor() {
        return floor(members().size());
    }

    /** How many replicas a committed record has at least, in a group with this number of voters. */
    public int floor(final int voters) {
        return Quorums.floor(voters, toleratedLosses);
    }

    /** Whether the node, a voter or a learner, is this leader itself or has answered it within the lease. */
    public boolean answersWithinLease(final int node, final long now) {
        return node == self || machine.lease.answered(node, now);
    }

    /** How many voters are known to have synced the log up to the index. */
    public int replicas(final long index) {
        return machine.progress.replicas(index);
    }

    /** How many voters are active, this one included. */
    public int active(final long now) {
        return 1 + machine.peers.active(members(), now);
    }

    /**
     * Whether this member may act as the leader now: it holds the lease and has committed a record of its term. To be
     * checked again immediately before each response.
     */
    public boolean mayAct(final long now) {
        return machine.lease.mayAct(now);
    }

    /** Whether a follower has all that the leader which it hears has committed; for a leader, {@link #mayAct}. */
    public boolean inSync(final long now) {
        return machine.isInSync(now);
    }

    /** The group's entry in this member's heartbeats. */
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

    /** Why this member did not stand for election at its last check, empty for no obstacle. */
    public String obstacle() {
        return machine.election.obstacle();
    }

    /** Whether a majority has answered heartbeats of this leadership that were sent at this time or later. */
    public boolean majoritySince(final long since) {
        return machine.lease.majoritySince(since);
    }

    /** Whether so many bytes wait for this member's own disk that nothing more is to be appended. */
    public boolean diskBacklogged() {
        return machine.log.syncBacklogged();
    }

    /** A digest of the complete log up to the index; -1 where this replica does not hold it. */
    public long digestAt(final long index) {
        return machine.log.digestAt(index);
    }

    // ---- set-up and recovery

    /**
     * Restores the group from an entry on disk, at the start; the caller has read the group's id from it.
     *
     * @throws IllegalStateException where its kind is unknown or a record does not follow the last one
     */
    public void replay(final PackedBuffer in, final long now) {
        final long code = in.getLong();
        final GroupEntryKind kind = GroupEntryKind.ofCode(code);
        if (kind == null) {
            throw new IllegalStateException("group " + id + ": unknown entry kind " + code);
        }
        switch (kind) {
            case RECORD -> {
                final LogRecord logRecord = LogRecord.wrap(in.getBytes(), now);
                machine.log.replay(logRecord);
                machine.voteStore.replayRecordOf(logRecord.term());
            }
            case TRUNCATE -> machine.log.replayTruncate(in.getLong());
            case VOTE -> machine.voteStore.replay(in.getLong(), (int) in.getLong());
            case INITIALISED -> machine.recovery.replay(in.getLong() == 1);
            case SNAPSHOT -> machine.log.replaySnapshot(in.getBytes(), now);
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
        entries.add(GroupEntryKind.SNAPSHOT
                .entry(id)
                .putBytes(machine.log.snapshot())
                .toByteArray());
        return entries;
    }

    /** Founds the control group explicitly: this empty member is new, and has not lost its disk. */
    public void found() {
        machine.recovery.initialise(false);
    }

    /** Sets when this process started, by the steady clock; promises of an earlier run were made before that. */
    public void startedAt(final long now) {
        machine.election.startedAt(now);
    }

    /** Sets the membership as of the placement, with voters alone. */
    public void configure(final List<Member> newMembers, final int version, final boolean isFounded, final long now) {
        configure(new Membership(version, newMembers, List.of()), isFounded, now);
    }

    /**
     * Sets the membership as of the placement; one in the log counts unless it is older.
     *
     * @param isFounded whether the group was founded before, so that an empty disk is a lost one
     */
    public void configure(final Membership placed, final boolean isFounded, final long now) {
        machine.configure(placed, isFounded, now);
    }

    // ---- events

    /** Handles a timer event: takes the newest heartbeat table, and does what is due. */
    public void tick(final long now, final HeartbeatTable table) {
        machine.tick(now, table);
    }

    /** Handles the executor's report that all writes up to this number are synced. */
    public void synced(final long number, final long now) {
        machine.synced(number, now);
    }

    /** Handles a message of another node; one that does not concern this member is dropped. */
    public void on(final int from, final PeerMessage message, final long now) {
        machine.on(from, message, now);
    }

    /** The session to the node is lost; a pull that was sent to it is not waited for any longer. */
    public void connectionLost(final int node) {
        machine.fetcher.connectionLost(node);
    }

    /** Appends a record as the leader, and returns its index; the caller has checked {@link #mayAct}. */
    public long append(final int kind, final byte[] body, final long now, final long wall) {
        return machine.append(kind, body, now, wall);
    }

    /** Appends one step of a membership change as a record. False, and nothing is done, where it is not safe now. */
    public boolean change(final Membership next, final long now, final long wall) {
        return machine.change(next, now, wall);
    }

    /**
     * Prepares this member to leave: it no longer stands, and transfers its leadership to a voter with the complete
     * log. True once it leads nothing.
     */
    public boolean withdraw(final long now) {
        return machine.transfer.withdraw(now);
    }

    /**
     * Manual switchover: asks a voter with the complete log to stand, and does not act until that has been tried.
     * False, and nothing is done, where that is not possible.
     */
    public boolean transferLeadership(final int to, final long now) {
        return machine.transfer.to(to, now);
    }

    /**
     * Whether the record is undamaged. Where not, this replica does not count and is repaired from another, and nothing
     * of it is served.
     */
    public boolean isIntact(final long index) {
        return machine.isIntact(index);
    }
}
