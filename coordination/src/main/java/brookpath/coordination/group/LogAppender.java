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
 * where the logs differ, or with a snapshot. A pull for which there is nothing new stays pending until there is. Not
 * thread-safe: the group's state thread owns it.
 */
final class LogAppender {
    /**
     * The most bytes of records in one reply, but for the last record: a slow link must not keep the heartbeats behind
     * it for long.
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
    private final LongPredicate intact;
    private final Actions out;
    private final SnapshotSender snapshotSender;
    private final TreeMap<Integer, Pull> pending = new TreeMap<>();
    private long nextTrim = Long.MIN_VALUE;

    /** @param intact whether the record at an index is undamaged; where not, nothing of this log is served */
    LogAppender(
            final int group,
            final TimingBounds timing,
            final RoleState roleState,
            final GroupMembership membership,
            final VoteStore voteStore,
            final RaftLog log,
            final LeaderLease lease,
            final ReplicaProgress progress,
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
        this.intact = intact;
        this.out = out;
        snapshotSender = new SnapshotSender(timing.recoverMs());
    }

    // ---- what a pull acknowledges

    /** Whether the puller's log differs from this one though both have the same term at the index of its end. */
    boolean differs(final Pull pull) {
        return !pull.lost() && endsInThisLog(pull) && log.digestAt(pull.syncedIndex()) != pull.chain();
    }

    /** Replaces the complete log of a member whose log differs from this leader's. */
    void replaceLog(final int node, final Pull pull, final long now) {
        // why: the same (term, index) must mean the same log; where it does not, the replica does not count and the
        // complete log is sent
        progress.forget(node);
        pending.remove(node);
        out.note("group " + group + ": the copy of node " + node + " differs at or before " + pull.syncedIndex()
                + " and is sent whole");
        sendSnapshot(node, pull, standing(now), now);
    }

    /** Records what a pull acknowledges of the puller's replica; true where a voter's replica may have grown. */
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
            // why: the same (term, index) means the same log up to there, so the replica holds everything before it too
            progress.voterSynced(node, pull.syncedIndex());
        }
        return ofThisLog;
    }

    private void acknowledgeLearner(final int node, final Pull pull) {
        // why: a learner's replica is tracked to see when it may vote, and counts for nothing until then; one that
        // stood in vain in a later term, before it was removed, may not vote in this one
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

    /** Forgets the pending pulls of nodes that are no longer members. */
    void dropPendingOfOthers() {
        pending.keySet().removeIf(node -> !membership.holds(node));
    }

    /** Forgets all pending pulls; their senders retry. */
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
        // why: only a leader that has opened its term knows everything that was committed before it
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
        if (records.isEmpty() && !tellsCommitted(pull, standing) && pull.term() >= voteStore.term()) {
            return false;
        }
        send(node, pull, PullReplyKind.RECORDS, standing, 0, records);
        return true;
    }

    /** Whether the puller does not know yet up to where the log is committed. */
    private boolean tellsCommitted(final Pull pull, final SourceStanding standing) {
        // why: a member that rebuilds its replica has to learn the committed index from an acting leader, also where no
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

    /** Sends the next part of this log's snapshot, which is built for the first receiver and kept for the others. */
    private void sendSnapshot(final int node, final Pull pull, final SourceStanding standing, final long now) {
        if (!snapshotSender.serves(pull.snapshotSum(), Math.min(pull.syncedIndex(), log.endIndex()))) {
            if (!isWholeLogIntact()) {
                return;
            }
            snapshotSender.hold(log.snapshot(), log.endIndex(), now);
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

    private boolean isWholeLogIntact() {
        for (long index = log.baseIndex() + 1; index <= log.endIndex(); index++) {
            if (!intact.test(index)) {
                return false;
            }
        }
        return true;
    }

    /** The log is replaced or truncated, so the snapshot that is kept is no longer of it. */
    void dropSnapshot() {
        snapshotSender.drop();
    }

    /**
     * Trims the log once a heartbeat period, but not beyond the end of a snapshot that is kept: its receivers continue
     * from there.
     */
    void trimIfDue(final long now) {
        if (now < nextTrim) {
            return;
        }
        nextTrim = now + timing.heartbeat();
        snapshotSender.expire(now);
        log.trim(snapshotSender.trimLimit(), now);
    }
}
