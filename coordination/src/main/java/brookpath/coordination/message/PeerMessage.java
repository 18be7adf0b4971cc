package brookpath.coordination.message;

import brookpath.state.record.LogRecord;
import java.util.List;

/**
 * A message between two processes, grouped by concern. Every message sent on behalf of a leader carries its term and
 * group version. Immutable; byte arrays are shared and must not be modified.
 */
public sealed interface PeerMessage {
    /** Votes, and the transfer of leadership. */
    sealed interface ElectionMessage extends PeerMessage {}

    /** Replication of the log, or of a snapshot of it, to a follower. */
    sealed interface ReplicationMessage extends PeerMessage {}

    /** Publishes that gateways forward, and their fetches of committed records. */
    sealed interface TopicMessage extends PeerMessage {}

    /** Distribution of the configuration and the cluster metadata to all processes. */
    sealed interface ConfigurationMessage extends PeerMessage {}

    /** Requests that the control leader decides on. */
    sealed interface ControlMessage extends PeerMessage {}

    /** Counts of listening sessions. */
    sealed interface ListenerMessage extends PeerMessage {}

    /**
     * A heartbeat from one process to another, with an entry per group; the reply carries the entries of the process
     * that replies.
     *
     * @param stamp the sender's steady clock when the heartbeat was sent, in milliseconds; a reply echoes it
     * @param knownDigest the digest of the receiver's entries as the sender knows them ({@link HeartbeatEntry#digest})
     * @param entriesOmitted in a reply: whether the entries are omitted, because the receiver knows all of them but for
     *     log positions
     * @param historyFull whether the sender has no memory for further records; never set in a reply
     */
    record Heartbeat(
            boolean reply,
            long id,
            long stamp,
            long knownDigest,
            boolean entriesOmitted,
            List<HeartbeatEntry> entries,
            boolean historyFull)
            implements PeerMessage {
        /** A heartbeat or reply of a process that has memory for further records. */
        public Heartbeat(
                final boolean reply,
                final long id,
                final long stamp,
                final long knownDigest,
                final boolean entriesOmitted,
                final List<HeartbeatEntry> entries) {
            this(reply, id, stamp, knownDigest, entriesOmitted, entries, false);
        }
    }

    /**
     * The state of one group at the sender: its role, term, sync state and the ends of its log.
     *
     * @param leaderHeard the leader as the sender sees it, 0 for none
     * @param weight the sender's rank in elections
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
         * A digest of roles, terms and sync states without log positions, which is all that a process without a replica
         * needs.
         */
        public static long digest(final List<HeartbeatEntry> entries) {
            long digest = 17;
            for (final HeartbeatEntry e : entries) {
                for (final long part :
                        new long[] {e.group, e.groupVersion, e.term, e.role, e.sync, e.leaderHeard, e.weight}) {
                    digest = (digest ^ part) * 0x9E3779B97F4A7C15L;
                    digest ^= digest >>> 29;
                }
            }
            return digest;
        }

        /** The same member after it has voted in a later term, in which it is not a leader. */
        public HeartbeatEntry raised(final long later) {
            return new HeartbeatEntry(
                    group, groupVersion, later, FOLLOWER, sync, startIndex, endIndex, endTerm, committed, 0, weight);
        }
    }

    /**
     * A candidate's request for a vote, with the end of its log.
     *
     * @param attempts how many election attempts of the candidate have failed in a row
     * @param manual whether the leader itself has asked the candidate to take over
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

    /** A vote, or the reason for refusing it, with the highest term that the voter has seen. */
    record VoteReply(int group, long term, boolean granted, long termSeen, String reason) implements ElectionMessage {}

    /** The leader asks a follower that has its complete log to start an election at once: a leadership transfer. */
    record TimeoutNow(int group, long term) implements ElectionMessage {}

    /**
     * A follower requests log records from its source. The synced index and term acknowledge what the follower has
     * stored, and the chain digest shows whether both have the same log.
     *
     * @param nextIndex the first record that is requested; negative for a snapshot of the complete log
     * @param committed the index up to which the sender knows the log to be committed; {@link #UNKNOWN} if it is
     *     rebuilding its replica and has to learn the index from an acting leader
     * @param lost whether the sender's replica is lost, and so does not count as a copy
     * @param snapshotSum the checksum of the full sync's snapshot that the follower is receiving, 0 for none
     * @param snapshotOffset how many bytes of that snapshot it has received
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
     * The reply to a pull. {@code askedIndex} and {@code askedTerm} are the end of the follower's log as of that pull;
     * a truncation or a full sync applies to that log only.
     *
     * @param snapshot a part of the snapshot of a full sync, empty in other replies
     * @param snapshotSum the checksum of that snapshot
     * @param snapshotTotal the size of that snapshot in bytes
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
     * A gateway forwards a caller's publish to the leader of the topic's group. The reply carries the same request ID.
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
     * The outcome of a publish as the leader knows it; the position is set if the publish was committed.
     *
     * @param leaderHint the leader as the replying node sees it, 0 for none
     */
    record PublishReply(long requestId, PublishOutcome outcome, long position, int leaderHint, long term, String reason)
            implements TopicMessage {}

    /**
     * A gateway reads the committed records of some topics, each after a given position; {@code tail} requests only the
     * current position.
     *
     * @param longPoll whether the reply waits until there are records or a timeout expires; all topics are then read
     *     from one position
     * @param at the position from which a long-poll fetch reads all topics
     * @param edition the edition of a long-poll fetch's topics, which are sent once and not again until they change
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

    /** A topic, and the position after which its records are requested. */
    record TopicPosition(String topic, long from) {}

    /**
     * Committed records up to the position that was scanned, and the topics for which some records after the requested
     * position are no longer kept.
     */
    record FetchReply(
            long requestId, int group, FetchStatus status, long scannedTo, List<String> gone, List<LogRecord> records)
            implements TopicMessage {}

    /**
     * A process requests updates to the configuration and the cluster metadata, and names the versions that it has.
     *
     * @param relay whether the receiver is to relay the poll, because the sender cannot reach the control leader
     *     directly
     * @param wall the sender's wall clock, in milliseconds
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
     * The reply to the node that polled, directly or through a relay. {@code wall} is the fleet's clock in
     * milliseconds, 0 while the control leader does not know it yet.
     *
     * @param configuration the configuration as a delta from the version in the poll
     *     ({@link brookpath.state.record.Delta}); empty if that is the newest
     * @param metadata the cluster metadata, encoded in the same way
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

    /** A request from an operator or another process to the control leader. */
    record ControlRequest(long requestId, String kind, byte[] body) implements ControlMessage {}

    /** The reply to a control request; the status is an HTTP status code. */
    record ControlReply(long requestId, int status, int retryAfterMs, byte[] body) implements ControlMessage {}

    /**
     * How many sessions of a gateway listen to each topic of a group.
     *
     * @param onto the edition to which these counts are changes; 0 if the counts are complete, equal to {@code edition}
     *     if nothing has changed
     */
    record ListenerReport(int group, long edition, long onto, List<TopicCount> counts) implements ListenerMessage {}

    /** A topic and how many sessions listen to it. */
    record TopicCount(String topic, int count) {}

    /** Requests from a group's leader how many sessions listen to a topic. */
    record ListenerCountRequest(long requestId, int group, String topic) implements ListenerMessage {}

    /** How many sessions listen to a topic. */
    record ListenerCountReply(long requestId, ListenerCountStatus status, int count) implements ListenerMessage {}
}
