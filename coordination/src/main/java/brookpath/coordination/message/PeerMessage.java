package brookpath.coordination.message;

import brookpath.state.record.LogRecord;
import java.util.List;

/**
 * A message between two processes, grouped by concern. Every message that acts for a leader carries its term and group
 * version. Immutable; byte arrays are shared and not written to.
 */
public sealed interface PeerMessage {
    /** Votes, and the transfer of leadership. */
    sealed interface ElectionMessage extends PeerMessage {}

    /** Replication of the log, or of a snapshot of it, to a follower. */
    sealed interface ReplicationMessage extends PeerMessage {}

    /** Publishes of gateways, and their fetches of what was committed. */
    sealed interface TopicMessage extends PeerMessage {}

    /** Distribution of the configuration and the cluster metadata to all processes. */
    sealed interface ConfigurationMessage extends PeerMessage {}

    /** Requests that the control leader decides on. */
    sealed interface ControlMessage extends PeerMessage {}

    /** Counts of listening sessions. */
    sealed interface ListenerMessage extends PeerMessage {}

    /**
     * One heartbeat per pair of processes, with an entry per group; its reply carries the replier's entries.
     *
     * @param stamp the sender's steady clock at the sending, in milliseconds; a reply returns it
     * @param knownDigest of the receiver's entries as the sender has them ({@link HeartbeatEntry#digest})
     * @param entriesOmitted in a reply: the entries are omitted, for what matters of them is known to the receiver
     */
    record Heartbeat(
            boolean reply, long id, long stamp, long knownDigest, boolean entriesOmitted, List<HeartbeatEntry> entries)
            implements PeerMessage {}

    /**
     * The state of one group at the sender: its role, term, sync state and the ends of its log.
     *
     * @param leaderHeard the leader as the sender sees it, 0 for none
     * @param weight rank in elections
     */
    record HeartbeatEntry(
            int group,
            int groupVersion,
            long term,
            int role,
            int sync,
            long startIndex,
            long endIndex,
            long endTerm,
            long committed,
            int leaderHeard,
            int weight) {
        public static final int FOLLOWER = 0;
        public static final int CANDIDATE = 1;
        public static final int LEADER = 2;

        /**
         * A digest of roles, terms and sync states without log positions: all that a process needs that holds no
         * replica.
         */
        public static long digest(final List<HeartbeatEntry> entries) {
            long d = 17;
            for (final HeartbeatEntry e : entries) {
                for (final long part :
                        new long[] {e.group, e.groupVersion, e.term, e.role, e.sync, e.leaderHeard, e.weight}) {
                    d = (d ^ part) * 0x9E3779B97F4A7C15L;
                    d ^= d >>> 29;
                }
            }
            return d;
        }

        /** The same member after it has voted in a later term, in which it leads nothing yet. */
        public HeartbeatEntry raised(final long later) {
            return new HeartbeatEntry(
                    group, groupVersion, later, FOLLOWER, sync, startIndex, endIndex, endTerm, committed, 0, weight);
        }
    }

    /**
     * A candidate's request for a vote, with the end of its log.
     *
     * @param attempts how many attempts of the candidate have failed in a row
     * @param manual the leader itself has asked the candidate to take over
     */
    record VoteRequest(
            int group,
            int groupVersion,
            long term,
            long endIndex,
            long endTerm,
            int weight,
            int attempts,
            boolean manual)
            implements ElectionMessage {}

    /** A vote, or the reason of its refusal, with the highest term that the voter has seen. */
    record VoteReply(int group, long term, boolean granted, long termSeen, String reason) implements ElectionMessage {}

    /** The leader asks a follower that has its complete log to start an election at once: a leadership transfer. */
    record TimeoutNow(int group, long term) implements ElectionMessage {}

    /**
     * A follower requests the log from its source; what it has synced acknowledges its replica, and the chain digest
     * shows whether it is the same log.
     *
     * @param nextIndex the first record that is requested; negative for a snapshot of the complete log
     * @param committed how far the sender knows the log to be committed; {@link #UNKNOWN} where it rebuilds its replica
     *     and has to learn it from an acting leader
     * @param lost whether the sender's replica does not count
     * @param snapshotSum which snapshot of a full sync the follower has begun to collect, 0 for none
     * @param snapshotOffset how much of that snapshot it has
     */
    record Pull(
            int group,
            int groupVersion,
            long term,
            long nextIndex,
            long prevTerm,
            long syncedIndex,
            long syncedTerm,
            long committed,
            boolean lost,
            long chain,
            long snapshotSum,
            long snapshotOffset)
            implements ReplicationMessage {
        /** The committed index is not known. */
        public static final long UNKNOWN = -1;
    }

    /**
     * The answer to a pull. The asked index and term are the end of the puller's log as of that pull; a truncation and
     * a full sync apply to that log only.
     *
     * @param snapshot a part of the snapshot of a full sync, empty in other replies
     * @param snapshotSum which snapshot it is a part of
     * @param snapshotTotal the size of that snapshot
     * @param snapshotOffset where in the snapshot the part begins
     */
    record PullReply(
            int group,
            int groupVersion,
            long term,
            int kind,
            int standing,
            long committed,
            long askedIndex,
            long askedTerm,
            long tryIndex,
            byte[] snapshot,
            List<LogRecord> records,
            long snapshotSum,
            long snapshotTotal,
            long snapshotOffset)
            implements ReplicationMessage {
        /** A reply without a part of a larger snapshot. */
        public PullReply(
                final int group,
                final int groupVersion,
                final long term,
                final int kind,
                final int standing,
                final long committed,
                final long askedIndex,
                final long askedTerm,
                final long tryIndex,
                final byte[] snapshot,
                final List<LogRecord> records) {
            this(
                    group,
                    groupVersion,
                    term,
                    kind,
                    standing,
                    committed,
                    askedIndex,
                    askedTerm,
                    tryIndex,
                    snapshot,
                    records,
                    0,
                    snapshot.length,
                    0);
        }

        public static final int RECORDS = 0;
        public static final int MISMATCH = 1;
        public static final int FULL = 2;
        public static final int FOLLOWER = 0;
        public static final int LEADER = 1;
        public static final int ACTING_LEADER = 2;
    }

    /**
     * A gateway forwards a caller's publish to the leader of the topic's group; the reply carries the same request id.
     */
    record Publish(
            long requestId,
            int group,
            long configurationVersion,
            long seq,
            String tenant,
            String topic,
            String sender,
            String text)
            implements TopicMessage {}

    /**
     * The outcome of a publish as the leader knows it; the position is set where it was committed.
     *
     * @param leaderHint the leader as the replying node sees it, 0 for none
     */
    record PublishReply(long requestId, PublishOutcome outcome, long position, int leaderHint, long term, String reason)
            implements TopicMessage {}

    /**
     * A gateway reads committed records of some topics after a position each; {@code tail} requests the present
     * position alone.
     *
     * @param longPoll answered when there is something, or after a timeout; all topics are read from one position
     * @param at that position
     * @param edition of the topics of a long-poll fetch: they are sent once, and not again while they are unchanged
     */
    record Fetch(
            long requestId,
            int group,
            boolean tail,
            boolean longPoll,
            long at,
            long edition,
            List<TopicPosition> topics)
            implements TopicMessage {}

    /** A topic and the position after which its records are wanted. */
    record TopicPosition(String topic, long from) {}

    /**
     * Committed records up to the position that was scanned, and the topics of which records after the requested
     * position are no longer kept.
     */
    record FetchReply(
            long requestId, int group, FetchStatus status, long scannedTo, List<String> gone, List<LogRecord> records)
            implements TopicMessage {}

    /**
     * A process requests news of the configuration and the cluster metadata, with the versions that it has.
     *
     * @param relay whether the control leader that was named cannot be reached from the sender
     * @param wall the sender's wall clock in milliseconds
     * @param machine the identity of the machine that the sender runs on
     */
    record ConfigurationPoll(
            long pollId,
            int node,
            int role,
            String zone,
            String address,
            String name,
            long configurationVersion,
            long metadataVersion,
            boolean drain,
            boolean relay,
            long wall,
            long machine)
            implements ConfigurationMessage {
        public static final int GATEWAY = 1;
        public static final int STORAGE = 2;
        public static final int CONTROLLER = 3;
    }

    /**
     * The answer for the node that polled, directly or through a relay. {@code wall} is the fleet's clock in
     * milliseconds, 0 while the control leader does not know it yet.
     *
     * @param configuration the configuration as a difference from the version in the poll
     *     ({@link brookpath.state.record.Delta}), empty where that is the newest
     * @param metadata the cluster metadata in the same way
     */
    record ConfigurationReply(
            long pollId,
            boolean leader,
            int leaderHint,
            long term,
            long configurationVersion,
            byte[] configuration,
            long metadataVersion,
            byte[] metadata,
            int node,
            long wall)
            implements ConfigurationMessage {}

    /** An operator's or another process's request for the control leader. */
    record ControlRequest(long requestId, String kind, byte[] body) implements ControlMessage {}

    /** The answer to an operation; the status is an HTTP status. */
    record ControlReply(long requestId, int status, int retryAfterMs, byte[] body) implements ControlMessage {}

    /**
     * How many sessions of a gateway listen to each topic of a group.
     *
     * @param onto the edition that these counts change; 0 where they are complete, the edition itself where nothing has
     *     changed
     */
    record ListenerReport(int group, long edition, long onto, List<TopicCount> counts) implements ListenerMessage {}

    /** A topic and how many sessions listen to it. */
    record TopicCount(String topic, int count) {}

    /** Asks a group's leader how many sessions listen to a topic. */
    record ListenerCountRequest(long requestId, int group, String topic) implements ListenerMessage {}

    /** How many sessions listen to a topic. */
    record ListenerCountReply(long requestId, ListenerCountStatus status, int count) implements ListenerMessage {}
}
