package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import java.util.function.Supplier;

/**
 * One member of one replication group, and the API of this package: elections by terms and votes, a log that followers
 * pull from the leader, a commit rule with a minimum number of replicas, a lease for the leader, and the recovery of a
 * member that has lost its disk. Takes (event, now) and adds actions; it has no clock and no I/O. Times are of the
 * steady clock, in milliseconds, unless they are called wall. Not thread-safe: the owner of the group calls it from one
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
    private final GroupCheckpoint checkpoint;

    /**
     * A follower with an empty log; {@link #replay} restores what is on disk, {@link #configure} sets the members.
     *
     * @param toleratedLosses how many replicas may be lost at once without losing a committed record
     * @param seed seeds the random back-off between elections
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
        checkpoint = new GroupCheckpoint(id, machine);
    }

    // ---- queries

    /** The group's id. */
    public int id() {
        return id;
    }

    /** The role by its code on the wire ({@link GroupRole}). */
    public int role() {
        return machine.roleState.role().code();
    }

    /** The current term of this member. */
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

    /** The index of the record with which this leader opened its term, 0 while it is not the leader. */
    public long openIndex() {
        return machine.roleState.openIndex();
    }

    /** The version of the membership in effect. */
    public int groupVersion() {
        return machine.membership.version();
    }

    /** The voters. */
    public List<Member> members() {
        return machine.membership.voters();
    }

    /** The membership in effect. */
    public Membership membership() {
        return machine.membership.current();
    }

    /** Whether the log holds a membership, so that none has to be configured from outside. */
    public boolean hasMembershipInLog() {
        return machine.log.baseMembership() != null || machine.log.newestMembershipRecord() != null;
    }

    /** Whether the newest membership is committed, so that the next change may follow. */
    public boolean membershipSettled() {
        return machine.membershipChange.isSettled();
    }

    /** The index up to which a learner's replica is known to be synced; -1 where that is unknown. */
    public long learnerSyncedIndex(final int node) {
        return machine.progress.ofLearner(node);
    }

    /**
     * The index up to which a voter's replica is known to be synced, as the leader counts it; -1 where that is unknown.
     */
    public long voterSyncedIndex(final int node) {
        return machine.progress.ofVoter(node);
    }

    /** The index of the newest membership record; 0 where the log holds none. */
    public long membershipIndex() {
        return machine.membership.index();
    }

    /** About how much memory the records of this replica's log take, in bytes. */
    public long logMemoryBytes() {
        return machine.log.memoryBytes();
    }

    /** Whether nothing in progress depends on timer events, so that they may be less frequent. */
    public boolean isIdle() {
        return machine.roleState.isLeader()
                ? machine.roleState.openIndex() > 0 && machine.log.committedIndex() == endIndex()
                : machine.roleState.isFollower() && machine.roleState.leader() != 0 && !lost();
    }

    /** The state after the last record, whether or not that is committed. */
    public LogState live() {
        return machine.log.live();
    }

    /** The state at the base of the log. */
    public LogState base() {
        return machine.log.base();
    }

    /** Whether this replica is lost or damaged: it does not count and has to be rebuilt from another. */
    public boolean lost() {
        return machine.recovery.isLost();
    }

    /** The reason of the last transition, for the status page. */
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

    /** The minimum number of replicas that hold a committed record. */
    public int floor() {
        return floor(members().size());
    }

    /** The minimum number of replicas that hold a committed record, in a group with this number of voters. */
    public int floor(final int voters) {
        return Quorums.floor(voters, toleratedLosses);
    }

    /**
     * Whether the node, a voter or a learner, is this leader itself or has answered its heartbeats within the lease.
     */
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

    /** Another member, voter or learner, that reports that it has no memory for further records; 0 where none does. */
    public int memberWithFullHistory(final long now) {
        final int voter = machine.peers.withFullHistory(members(), now);
        return voter != PeerView.NO_NODE
                ? voter
                : machine.peers.withFullHistory(membership().learners(), now);
    }

    /**
     * Whether this member may act as the leader now: it holds the lease and has committed a record of its term. The
     * caller checks this again immediately before each response.
     */
    public boolean mayAct(final long now) {
        return machine.lease.mayAct(now);
    }

    /** Whether a follower holds everything that its leader has committed; for a leader, {@link #mayAct}. */
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

    /** Why this member did not stand for election at its last check, empty where nothing prevented it. */
    public String obstacle() {
        return machine.election.obstacle();
    }

    /** Whether a majority has answered heartbeats that this leader sent in its term, at this time or later. */
    public boolean majoritySince(final long since) {
        return machine.lease.majoritySince(since);
    }

    /** Whether so many bytes are not yet synced to this member's own disk that nothing more may be appended. */
    public boolean diskBacklogged() {
        return machine.log.syncBacklogged();
    }

    /** A digest of the complete log up to the index; -1 where this replica does not hold it. */
    public long digestAt(final long index) {
        return machine.log.digestAt(index);
    }

    // ---- set-up and recovery

    /**
     * Replays an entry that is on disk, at startup; the caller has already read the group's id from it.
     *
     * @throws IllegalStateException where its kind is unknown or a record does not follow the last one
     */
    public void replay(final PackedBuffer in, final long now) {
        checkpoint.replay(in, now);
    }

    /**
     * The complete state of this group as entries to replay, for the snapshot at the start of a segment.
     *
     * @param now of the steady clock, in milliseconds
     */
    public List<ChunkedBuffer> checkpoint(final long now) {
        return checkpoint.entries(now);
    }

    /** Marks this empty member as a founding one of the control group: it is new, and has not lost its disk. */
    public void found() {
        machine.recovery.initialise(false);
    }

    /**
     * Sets when this process started, by the steady clock; promises of its former incarnation were made before that.
     */
    public void startedAt(final long startTime) {
        machine.election.startedAt(startTime);
    }

    /** Sets the membership that the placement gives, without learners. */
    public void configure(final List<Member> newMembers, final int version, final boolean isFounded, final long now) {
        configure(new Membership(version, newMembers, List.of()), isFounded, now);
    }

    /**
     * Sets the membership that the placement gives; a membership in the log takes precedence unless it is older.
     *
     * @param isFounded whether the group was founded before, so that an empty disk means a lost replica
     */
    public void configure(final Membership placed, final boolean isFounded, final long now) {
        checkpoint.endReplay();
        machine.configure(placed, isFounded, now);
    }

    // ---- events

    /** Handles a timer event: takes the newest heartbeat table, and takes the steps that are due. */
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

    /** The session to the node is lost; a pull in flight to it is given up. */
    public void connectionLost(final int node) {
        machine.fetcher.connectionLost(node);
    }

    /** Appends a record as the leader, and returns its index; the caller has checked {@link #mayAct}. */
    public long append(final int kind, final byte[] body, final long now, final long wall) {
        return machine.append(kind, body, now, wall);
    }

    /**
     * Appends one step of a membership change as a record; returns false, and does nothing, where that is not safe now.
     */
    public boolean change(final Membership next, final long now, final long wall) {
        return machine.change(next, now, wall);
    }

    /**
     * Prepares this member to leave: it no longer stands for election, and transfers its leadership to a voter with the
     * complete log. True once it is not the leader.
     */
    public boolean withdraw(final long now) {
        return machine.transfer.withdraw(now);
    }

    /**
     * Asks a voter with the complete log to take over, and does not act as the leader until that has succeeded or timed
     * out. Returns false, and does nothing, where a transfer is not possible.
     */
    public boolean transferLeadership(final int to, final long now) {
        return machine.transfer.transferTo(to, now);
    }

    /**
     * Whether the record is undamaged. Where it is not, this replica no longer counts, serves nothing and is repaired
     * from another.
     */
    public boolean isIntact(final long index) {
        return machine.isIntact(index);
    }
}
