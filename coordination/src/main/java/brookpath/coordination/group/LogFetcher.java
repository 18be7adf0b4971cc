package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.PeerMessage.Pull;
import brookpath.coordination.message.PeerMessage.PullReply;
import brookpath.state.record.LogRecord;

/**
 * The receiving side of log replication: pulls the log from the leader, or from a follower that hears the leader,
 * appends the records, and tracks whether this follower is in sync. Replies of older terms and older memberships are
 * rejected. Times are of the steady clock, in milliseconds. Not thread-safe: the group's state thread owns it.
 */
final class LogFetcher {
    private static final long COMPLETE_LOG = -1;
    private static final long NEVER = Long.MAX_VALUE;

    private final int group;
    private final int self;
    private final TimingBounds timing;
    private final RoleState roleState;
    private final GroupMembership membership;
    private final VoteStore voteStore;
    private final RaftLog log;
    private final ReplicaRecovery recovery;
    private final PeerView peers;
    private final LogAppender appender;
    private final LogSweep sweep;
    private final Actions out;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

    private int source;
    private long pulledAt;
    private boolean pulling;
    private boolean snapshotWanted;
    private boolean inSync;
    private long behindSince = NEVER;

    LogFetcher(
            final int group,
            final int self,
            final TimingBounds timing,
            final RoleState roleState,
            final GroupMembership membership,
            final VoteStore voteStore,
            final RaftLog log,
            final ReplicaRecovery recovery,
            final PeerView peers,
            final LogAppender appender,
            final LogSweep sweep,
            final Actions out) {
        this.group = group;
        this.self = self;
        this.timing = timing;
        this.roleState = roleState;
        this.membership = membership;
        this.voteStore = voteStore;
        this.log = log;
        this.recovery = recovery;
        this.peers = peers;
        this.appender = appender;
        this.sweep = sweep;
        this.out = out;
    }

    // ---- whether this follower is in sync

    /** Whether this follower holds everything that its leader has committed. */
    boolean isInSync(final long now) {
        // a follower that hears its leader but cannot reach it gets no further records, which it notices only by the
        // checks of the connection and of the lag
        return inSync
                && !recovery.isLost()
                && roleState.leader() != PeerView.NO_NODE
                && peers.up(roleState.leader())
                && now - behindSince <= timing.detectionTime();
    }

    /** This follower is no longer known to be in sync. */
    void markOutOfSync() {
        inSync = false;
    }

    /** Tracks since when the leader has reported a higher committed index than this log's. */
    void trackLag(final long now) {
        final HeartbeatEntry entry = peers.entry(roleState.leader(), now);
        if (entry == null || entry.committed() <= log.committedIndex()) {
            behindSince = NEVER;
        } else if (behindSince == NEVER) {
            behindSince = now;
        }
    }

    // ---- pulling

    /** Gives up the pull in flight, if there is one. */
    void cancel() {
        pulling = false;
    }

    /** The session to the node is lost, and with it perhaps the pull in flight. */
    void connectionLost(final int node) {
        if (source == node) {
            cancel();
        }
    }

    /** Whether the complete log has to be replaced by a snapshot. */
    boolean isSnapshotWanted() {
        return snapshotWanted;
    }

    /** This log is damaged: only a snapshot can repair it. */
    void replaceLog() {
        dropReceived();
        snapshotWanted = true;
        inSync = false;
    }

    /** Drops the parts of a snapshot that were received. */
    void dropReceived() {
        snapshotReceiver.reset();
    }

    /** Sends a pull for the records that follow this log, unless one is in flight. */
    void pull(final long now) {
        if (roleState.isLeader() || membership.voters().isEmpty() || log.hasUnsynced()) {
            return;
        }
        final int newSource = chooseSource(now);
        final boolean alreadyPulling = pulling && newSource == source && now - pulledAt < timing.pullDeadline();
        if (newSource != PeerView.NO_NODE && !alreadyPulling) {
            source = newSource;
            send(now);
        }
    }

    private void send(final long now) {
        pulling = true;
        pulledAt = now;
        out.send(
                source,
                new Pull(
                        group,
                        membership.version(),
                        voteStore.term(),
                        snapshotWanted ? COMPLETE_LOG : log.endIndex() + 1,
                        log.endTerm(),
                        log.syncedIndex(),
                        log.syncedTerm(),
                        recovery.needsTarget() ? Pull.UNKNOWN : log.committedIndex(),
                        recovery.isLost(),
                        log.digestAt(log.syncedIndex()),
                        snapshotReceiver.sum(),
                        snapshotReceiver.offset()));
    }

    /** The leader where it can be reached, else a follower that is in sync and hears it. */
    private int chooseSource(final long now) {
        if (roleState.leader() != PeerView.NO_NODE && peers.up(roleState.leader())) {
            return roleState.leader();
        }
        for (final Member voter : membership.voters()) {
            final HeartbeatEntry entry = peers.entry(voter.node(), now);
            if (entry != null
                    && peers.up(voter.node())
                    && entry.leaderHeard() != PeerView.NO_NODE
                    && entry.leaderHeard() != self
                    && entry.sync() == SyncState.IN_SYNC.code()
                    && entry.term() >= voteStore.term()) {
                return voter.node();
            }
        }
        return PeerView.NO_NODE;
    }

    // ---- replies

    /**
     * Handles a reply to a pull.
     *
     * @return true where the log may have changed, so that what depends on it may proceed
     */
    boolean onReply(final int from, final PullReply reply, final long now) {
        // fencing: a reply from an older term or an older membership is ignored, however late it arrives
        if (isOlderTerm(reply) || isOlderGroup(reply) || roleState.isLeader() || from != source) {
            return false;
        }
        enterTerm(reply.term());
        pulling = false;
        final PullReplyKind kind = PullReplyKind.ofCode(reply.kind());
        // a late reply refers to an earlier state of this log; truncating by it would remove acknowledged records
        if (kind != PullReplyKind.RECORDS && !isOfThisLog(reply)) {
            pull(now);
            return false;
        }
        return apply(kind, from, reply, now);
    }

    private boolean isOlderTerm(final PullReply reply) {
        return reply.term() < (membership.selfIsVoter() ? voteStore.term() : log.endTerm());
    }

    /**
     * Whether the reply is older than a membership that its sender must know: one that is committed, or that was
     * appended in this term. The leader of this term need not know a membership record of an earlier leader that was
     * never committed.
     */
    private boolean isOlderGroup(final PullReply reply) {
        return reply.term() == voteStore.term()
                && reply.groupVersion() < membership.version()
                && (membership.index() <= log.committedIndex() || log.termAt(membership.index()) == reply.term());
    }

    private void enterTerm(final long term) {
        if (term > voteStore.term()) {
            if (roleState.isCandidate()) {
                roleState.becomeFollower();
            }
            voteStore.enter(term);
        }
    }

    private boolean isOfThisLog(final PullReply reply) {
        return snapshotWanted
                ? reply.askedIndex() < 0
                : reply.askedIndex() == log.endIndex() && reply.askedTerm() == log.endTerm();
    }

    /** Applies the reply; false where it is rejected and nothing was changed. */
    private boolean apply(final PullReplyKind kind, final int from, final PullReply reply, final long now) {
        return switch (kind) {
            case SNAPSHOT -> applySnapshotPart(from, reply, now);
            case MISMATCH -> applyMismatch(from, reply);
            case RECORDS -> applyRecords(reply, now);
        };
    }

    private boolean applySnapshotPart(final int from, final PullReply reply, final long now) {
        if (reply.snapshot().length == 0 || (SourceStanding.FOLLOWER.is(reply) && !mayAdoptFollowersLog())) {
            return false;
        }
        final LogSnapshot snapshot = snapshotReceiver.take(reply, now);
        if (snapshot == null) {
            return true;
        }
        dropTransfers();
        sweep.restart();
        log.install(snapshot, now);
        snapshotWanted = false;
        explain("full sync from " + from + " up to " + log.endIndex());
        onMatched(log.endIndex(), reply, now);
        return true;
    }

    private boolean mayAdoptFollowersLog() {
        // a follower's log may lack records that were committed with this replica counted; a damaged replica is
        // therefore repaired from the leader only
        if (recovery.isDamaged()) {
            return false;
        }
        return recovery.isLost() || snapshotWanted || log.endIndex() == 0 || log.committedIndex() == 0;
    }

    private boolean applyMismatch(final int from, final PullReply reply) {
        if (SourceStanding.FOLLOWER.is(reply)) {
            return false;
        }
        final long agreed = reply.tryIndex();
        if ((agreed < log.committedIndex() && agreed < log.baseIndex())
                || (agreed <= log.baseIndex() && log.endIndex() == log.baseIndex())) {
            snapshotWanted = true;
            return true;
        }
        if (agreed < log.committedIndex()) {
            out.error("group " + group + ": leader " + from + " lacks committed records after " + agreed);
            return false;
        }
        dropTransfers();
        log.truncate(agreed);
        explain("truncated a diverged tail after " + agreed);
        return true;
    }

    /** Drops the incoming and outgoing snapshots, which do not match the log after this change. */
    private void dropTransfers() {
        appender.dropSnapshot();
        dropReceived();
    }

    private void explain(final String reason) {
        roleState.explain(reason);
        out.note("group " + group + ": " + reason);
    }

    private boolean applyRecords(final PullReply reply, final long now) {
        dropReceived();
        // a late reply may refer to records that were truncated since; it must not commit what was appended in their
        // place
        if (reply.askedIndex() < log.baseIndex()
                || reply.askedIndex() > log.endIndex()
                || log.termAt(reply.askedIndex()) != reply.askedTerm()) {
            return true;
        }
        long matchedIndex = reply.askedIndex();
        for (final LogRecord logRecord : reply.records()) {
            final boolean known = logRecord.index() <= log.endIndex();
            if (logRecord.index() != matchedIndex + 1 || (known && log.termAt(logRecord.index()) != logRecord.term())) {
                break;
            }
            if (!known) {
                log.append(LogRecord.wrap(logRecord.bytes(), now));
            }
            matchedIndex = logRecord.index();
        }
        onMatched(matchedIndex, reply, now);
        return true;
    }

    /** Commits what the reply allows: this log equals the source's up to the index. */
    private void onMatched(final long matchedIndex, final PullReply reply, final long now) {
        final boolean complete = matchedIndex >= reply.committed();
        log.commit(Math.min(reply.committed(), matchedIndex));
        if (!inSync && complete) {
            out.heartbeatNow();
        }
        inSync = complete;
        if (SourceStanding.ACTING_LEADER.is(reply) && recovery.needsTarget()) {
            recovery.setTarget(reply.committed());
        }
        appender.answerPending(now);
    }
}
