package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.Pull;
import brookpath.coordination.message.PeerMessage.PullReply;
import brookpath.state.record.LogRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongPredicate;

/**
 * The sending side of log replication: answers the pulls of other members with records, with an earlier index to try
 * where the logs differ, or with a snapshot. A pull stays pending while there is nothing new to send. Not thread-safe:
 * the group's state thread owns it.
 */
final class LogAppender {
    /**
     * A reply ends with the record that reaches this many bytes: on a slow link a larger reply would delay the
     * heartbeats behind it for too long.
     */
    private static final int REPLY_BYTES = 64 << 10;

    private static final byte[] NO_SNAPSHOT = {};

    private final int group;
    private final TimingBounds timing;
    private final RoleState roleState;
    private final GroupMembership membership;
    private final VoteStore voteStore;
    private final RaftLog log;
    private final LeaderLease lease;
    private final ReplicaProgress progress;
    private final PeerView peers;
    private final LongPredicate intact;
    private final Actions out;
    private final SnapshotSender snapshotSender;
    private final TreeMap<Integer, Pull> pending = new TreeMap<>();
    private long nextTrim = Long.MIN_VALUE;

    /** @param intact whether the record at an index is undamaged; a log with a damaged record is not served */
    LogAppender(
            final int group,
            final TimingBounds timing,
            final RoleState roleState,
            final GroupMembership membership,
            final VoteStore voteStore,
            final RaftLog log,
            final LeaderLease lease,
            final ReplicaProgress progress,
            final PeerView peers,
            final LongPredicate intact,
            final Actions out) {
        this.group = group;
        this.timing = timing;
        this.roleState = roleState;
        this.membership = membership;
        this.voteStore = voteStore;
        this.log = log;
        this.lease = lease;
        this.progress = progress;
        this.peers = peers;
        this.intact = intact;
        this.out = out;
        snapshotSender = new SnapshotSender(timing.recoverMs());
    }

    // ---- acknowledgements

    /** Whether the sender's log differs from this one although both have the same term at the sender's synced index. */
    boolean differs(final Pull pull) {
        return !pull.lost() && endsInThisLog(pull) && log.digestAt(pull.syncedIndex()) != pull.chain();
    }

    /** Replaces the complete log of a member whose log differs from this leader's. */
    void replaceLog(final int node, final Pull pull, final long now) {
        // equal (term, index) must mean equal logs; where they do not, the replica does not count and is replaced by
        // the complete log
        progress.forget(node);
        pending.remove(node);
        out.note("group " + group + ": the replica of node " + node + " differs at or before " + pull.syncedIndex()
                + " and is replaced");
        sendSnapshot(node, pull, standing(now), now);
    }

    /** Records how far a pull acknowledges the sender's replica; true where a voter's progress may have advanced. */
    boolean acknowledge(final int node, final Pull pull) {
        if (!membership.isVoter(node)) {
            acknowledgeLearner(node, pull);
            return false;
        }
        if (pull.lost()) {
            progress.forgetVoter(node);
            return false;
        }
        final boolean ofThisLog = pull.term() == voteStore.term()
                && pull.syncedIndex() > log.baseIndex()
                && pull.syncedIndex() <= log.endIndex()
                && endsInThisLog(pull);
        if (ofThisLog) {
            // equal (term, index) means equal logs up to there, so the replica holds everything before it too
            progress.voterSynced(node, pull.syncedIndex());
        }
        return ofThisLog;
    }

    private void acknowledgeLearner(final int node, final Pull pull) {
        // a learner's progress is tracked to know when it may become a voter, and does not count for commits until
        // then; a learner that entered a later term, as an unsuccessful candidate before it was removed as a voter, may
        // not vote in this term
        progress.forgetVoter(node);
        final boolean mayVote = !pull.lost() && pull.term() <= voteStore.term();
        progress.learnerSynced(node, mayVote && endsInThisLog(pull) ? pull.syncedIndex() : ReplicaProgress.UNKNOWN);
    }

    private boolean endsInThisLog(final Pull pull) {
        return log.termAt(pull.syncedIndex()) == pull.syncedTerm();
    }

    // ---- answering

    /** Answers a pull, or keeps it pending. */
    void answer(final int node, final Pull pull, final long now) {
        pending.remove(node);
        if (!reply(node, pull, now)) {
            pending.put(node, pull);
        }
    }

    /** Answers the pending pulls for which there is something new. */
    void answerPending(final long now) {
        pending.entrySet().removeIf(entry -> reply(entry.getKey(), entry.getValue(), now));
    }

    /** Drops the pending pulls of nodes that are no longer members. */
    void dropPendingOfOthers() {
        pending.keySet().removeIf(node -> !membership.holds(node));
    }

    /** Drops all pending pulls; their senders retry. */
    void dropPending() {
        pending.clear();
    }

    /** Answers a pull; false where there is nothing new. */
    private boolean reply(final int node, final Pull pull, final long now) {
        final long previous = pull.nextIndex() - 1;
        final SourceStanding standing = standing(now);
        if (pull.nextIndex() < 0 || previous < log.baseIndex()) {
            sendSnapshot(node, pull, standing, now);
            return true;
        }
        if (previous > log.endIndex() || log.termAt(previous) != pull.prevTerm()) {
            sendMismatch(node, pull, standing);
            return true;
        }
        return sendRecords(node, pull, standing);
    }

    private SourceStanding standing(final long now) {
        // only a leader that has committed a record of its own term knows everything that was committed before
        if (lease.mayAct(now)) {
            return SourceStanding.ACTING_LEADER;
        }
        return roleState.isLeader() ? SourceStanding.LEADER : SourceStanding.FOLLOWER;
    }

    private void sendMismatch(final int node, final Pull pull, final SourceStanding standing) {
        final long previous = pull.nextIndex() - 1;
        long tryIndex = Math.min(log.endIndex(), previous - 1);
        while (tryIndex > log.baseIndex() && log.termAt(tryIndex) > pull.prevTerm()) {
            tryIndex--;
        }
        send(node, pull, PullReplyKind.MISMATCH, standing, tryIndex, List.of());
    }

    private boolean sendRecords(final int node, final Pull pull, final SourceStanding standing) {
        final List<LogRecord> records = new ArrayList<>();
        int bytes = 0;
        for (long index = pull.nextIndex(); index <= log.endIndex() && bytes < REPLY_BYTES; index++) {
            if (!intact.test(index)) {
                return true;
            }
            records.add(log.logRecord(index));
            bytes += log.logRecord(index).bytes().length;
        }
        if (records.isEmpty() && !needsCommittedIndex(pull, standing) && pull.term() >= voteStore.term()) {
            return false;
        }
        send(node, pull, PullReplyKind.RECORDS, standing, 0, records);
        return true;
    }

    /** Whether the sender of the pull does not know the current committed index yet. */
    private boolean needsCommittedIndex(final Pull pull, final SourceStanding standing) {
        // a member that rebuilds its replica has to learn the committed index from an acting leader, even where no
        // records follow
        return pull.committed() == Pull.UNKNOWN
                ? standing == SourceStanding.ACTING_LEADER
                : pull.committed() < log.committedIndex();
    }

    private void send(
            final int node,
            final Pull pull,
            final PullReplyKind kind,
            final SourceStanding standing,
            final long tryIndex,
            final List<LogRecord> records) {
        out.send(
                node,
                new PullReply(
                        group,
                        membership.version(),
                        voteStore.term(),
                        kind.code(),
                        standing.code(),
                        log.committedIndex(),
                        pull.nextIndex() - 1,
                        pull.prevTerm(),
                        tryIndex,
                        NO_SNAPSHOT,
                        records));
    }

    // ---- snapshots

    /**
     * Sends the next part of a snapshot of this log, which is built for the first receiver and reused for the others.
     */
    private void sendSnapshot(final int node, final Pull pull, final SourceStanding standing, final long now) {
        if (!snapshotSender.serves(pull.snapshotSum(), Math.min(pull.syncedIndex(), log.endIndex()))) {
            if (!isCompleteLogIntact()) {
                return;
            }
            snapshotSender.keep(log.snapshot().encode(), log.endIndex(), now);
        }
        final SnapshotSender.Part part = snapshotSender.part(pull.snapshotSum(), pull.snapshotOffset(), now);
        out.send(
                node,
                new PullReply(
                        group,
                        membership.version(),
                        voteStore.term(),
                        PullReplyKind.SNAPSHOT.code(),
                        standing.code(),
                        log.committedIndex(),
                        pull.nextIndex() - 1,
                        pull.prevTerm(),
                        0,
                        part.bytes(),
                        List.of(),
                        part.sum(),
                        part.total(),
                        part.offset()));
    }

    private boolean isCompleteLogIntact() {
        for (long index = log.baseIndex() + 1; index <= log.endIndex(); index++) {
            if (!intact.test(index)) {
                return false;
            }
        }
        return true;
    }

    /** Drops the cached snapshot: the log is replaced or truncated. */
    void dropSnapshot() {
        snapshotSender.drop();
    }

    /**
     * Trims the log once per heartbeat period, but not beyond the end of the cached snapshot: its receivers continue
     * from there. A record that another member has trimmed has been kept long enough by that member's clock: a member
     * that was restarted or caught up, and has held it for a shorter time, need not keep it any longer.
     */
    void trimIfDue(final long now) {
        if (now < nextTrim) {
            return;
        }
        nextTrim = now + timing.heartbeat();
        snapshotSender.expire(now);
        log.trim(snapshotSender.trimLimit(), peers.trimmedIndex(membership.voters(), now), now);
    }
}
