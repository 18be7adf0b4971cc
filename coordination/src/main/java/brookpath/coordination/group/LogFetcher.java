package brookpath.coordination.group;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.PeerMessage.Pull;
import brookpath.coordination.message.PeerMessage.PullReply;
import brookpath.state.record.LogRecord;

/**
 * The receiving side of log replication: pulls the log from the leader, or from a follower that hears it, appends what
 * is sent, and knows whether this follower is in sync. Replies of older terms and older memberships are rejected. Times
 * are of the steady clock, in milliseconds. Not thread-safe: the group's state thread owns it.
 */
final class LogFetcher {
    private static final long WHOLE_LOG = -1;
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

    /** Whether this follower has all that the leader which it hears has committed. */
    boolean isInSync(final long now) {
        // why: a follower that hears its leader but is not heard gets no further records, and would not notice
        return inSync
                && !recovery.isLost()
                && roleState.leader() != PeerView.NOBODY
                && peers.up(roleState.leader())
                && now - behindSince <= timing.detectionTime();
    }

    /** This follower is no longer known to be in sync. */
    void outOfSync() {
        inSync = false;
    }

    /** Notes since when the leader has reported a higher committed index than the one here. */
    void watchLeader(final long now) {
        final HeartbeatEntry entry = peers.entry(roleState.leader(), now);
        if (entry == null || entry.committed() <= log.committedIndex()) {
            behindSince = NEVER;
        } else if (behindSince == NEVER) {
            behindSince = now;
        }
    }

    // ---- pulling

    /** Stops waiting for the pull in flight, if there is one. */
    void cancel() {
        pulling = false;
    }

    /** The session to the node is lost, and so may be the pull that was sent to it. */
    void connectionLost(final int node) {
        if (source == node) {
            cancel();
        }
    }

    /** Whether the complete log is to be replaced by a snapshot. */
    boolean isSnapshotWanted() {
        return snapshotWanted;
    }

    /** The log here is damaged: only a snapshot repairs it. */
    void replaceLog() {
        dropReceived();
        snapshotWanted = true;
        inSync = false;
    }

    /** Forgets the parts of a snapshot that were received. */
    void dropReceived() {
        snapshotReceiver.reset();
    }

    /** Sends a pull for what follows this log, unless one is in flight. */
    void pull(final long now) {
        if (roleState.isLeader() || membership.voters().isEmpty() || log.hasUnsynced()) {
            return;
        }
        final int newSource = chooseSource(now);
        final boolean asked = pulling && newSource == source && now - pulledAt < timing.pullDeadline();
        if (newSource != PeerView.NOBODY && !asked) {
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
                        snapshotWanted ? WHOLE_LOG : log.endIndex() + 1,
                        log.endTerm(),
                        log.syncedIndex(),
                        log.syncedTerm(),
                        recovery.needsTarget() ? Pull.UNKNOWN : log.committedIndex(),
                        recovery.isLost(),
                        log.digestAt(log.syncedIndex()),
                        snapshotReceiver.sum(),
                        snapshotReceiver.offset()));
    }

    /** The leader while it can be reached; else a follower that still hears it. */
    private int chooseSource(final long now) {
        if (roleState.leader() != PeerView.NOBODY && peers.up(roleState.leader())) {
            return roleState.leader();
        }
        for (final Member voter : membership.voters()) {
            final HeartbeatEntry entry = peers.entry(voter.node(), now);
            if (entry != null
                    && peers.up(voter.node())
                    && entry.leaderHeard() != PeerView.NOBODY
                    && entry.leaderHeard() != self
                    && entry.sync() == SyncState.IN_SYNC.code()
                    && entry.term() >= voteStore.term()) {
                return voter.node();
            }
        }
        return PeerView.NOBODY;
    }

    // ---- replies

    /**
     * Takes a reply to a pull.
     *
     * @return true where the log may have changed, so that what waits for it may proceed
     */
    boolean onReply(final int from, final PullReply reply, final long now) {
        // why: fencing: a sender that acts for an older term or an older membership is ignored, however late its reply
        if (isOlderTerm(reply) || isOlderGroup(reply) || roleState.isLeader() || from != source) {
            return false;
        }
        enterTerm(reply.term());
        pulling = false;
        final PullReplyKind kind = PullReplyKind.ofCode(reply.kind());
        // why: a late reply refers to a log that may have grown since; truncating by it would remove acknowledged
        // records
        if (kind != PullReplyKind.RECORDS && !isOfThisLog(reply)) {
            pull(now);
            return false;
        }
        return take(kind, from, reply, now);
    }

    private boolean isOlderTerm(final PullReply reply) {
        return reply.term() < (membership.selfIsVoter() ? voteStore.term() : log.endTerm());
    }

    /**
     * Whether the reply is older than a membership that its sender must know: one that is committed, or that was made
     * in this term. A membership record of an earlier leader that was never committed need not be known to this one.
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
    private boolean take(final PullReplyKind kind, final int from, final PullReply reply, final long now) {
        return switch (kind) {
            case SNAPSHOT -> takeSnapshotPart(from, reply, now);
            case MISMATCH -> takeMismatch(from, reply);
            case RECORDS -> takeRecords(reply, now);
        };
    }

    private boolean takeSnapshotPart(final int from, final PullReply reply, final long now) {
        if (reply.snapshot().length == 0 || (SourceStanding.FOLLOWER.is(reply) && !mayTakeFollowersLog())) {
            return false;
        }
        final byte[] snapshot = snapshotReceiver.take(reply);
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

    private boolean mayTakeFollowersLog() {
        // why: a follower's log may lack records for which this replica was counted; a damaged replica is repaired from
        // the leader
        if (recovery.isDamaged()) {
            return false;
        }
        return recovery.isLost() || snapshotWanted || log.endIndex() == 0 || log.committedIndex() == 0;
    }

    private boolean takeMismatch(final int from, final PullReply reply) {
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
            out.error("group " + group + ": master " + from + " lacks accepted records after " + agreed);
            return false;
        }
        dropTransfers();
        log.truncate(agreed);
        explain("diverged tail cut to " + agreed);
        return true;
    }

    /** Drops the snapshots in transfer, in and out: they are not of the log as it is from here on. */
    private void dropTransfers() {
        appender.dropSnapshot();
        dropReceived();
    }

    private void explain(final String reason) {
        roleState.explain(reason);
        out.note("group " + group + ": " + reason);
    }

    private boolean takeRecords(final PullReply reply, final long now) {
        dropReceived();
        // why: a late reply may belong to a log that was truncated since; what was appended afterwards must not become
        // committed by it
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

    /** This log equals the source's up to the index. */
    private void onMatched(final long matchedIndex, final PullReply reply, final long now) {
        final boolean complete = matchedIndex >= reply.committed();
        log.commit(Math.min(reply.committed(), matchedIndex));
        if (!inSync && complete) {
            out.heartbeatNow();
        }
        inSync = complete;
        if (SourceStanding.ACTING_LEADER.is(reply) && recovery.needsTarget()) {
            recovery.target(reply.committed());
        }
        appender.answerPending(now);
    }
}
