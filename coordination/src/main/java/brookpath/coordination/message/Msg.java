package brookpath.coordination.message;

import brookpath.state.record.Rec;
import java.util.List;

/** What the processes say to each other. Every message that acts for a master carries its epoch and group version. */
public sealed interface Msg {
    /** One sharing-beat per pair of processes, with an entry per group; its reply carries the replier's entries. */
    /**
     * @param known what the sender has of the receiver's entries ({@link BeatEntry#digest})
     * @param same in a reply: the entries are left out, for what matters of them is what the asker has
     */
    record Beat(boolean reply, long id, long stamp, long known, boolean same, List<BeatEntry> entries) implements Msg {}

    /** The state of one group at the sender: its role, epoch, sync state and the ends of its log. */
    record BeatEntry(
            int group,
            int groupVersion,
            long epoch,
            int role,
            int sync,
            long startLsn,
            long endLsn,
            long endEpoch,
            long accepted,
            int masterHeard,
            int weight) {
        public static final int SLAVE = 0;
        public static final int CANDIDATE = 1;
        public static final int MASTER = 2;

        /** Who is what, in which epoch, without the positions: all that a process needs that holds no copy itself. */
        public static long digest(final List<BeatEntry> entries) {
            long d = 17;
            for (final BeatEntry e : entries) {
                for (final long part :
                        new long[] {e.group, e.groupVersion, e.epoch, e.role, e.sync, e.masterHeard, e.weight}) {
                    d = (d ^ part) * 0x9E3779B97F4A7C15L;
                    d ^= d >>> 29;
                }
            }
            return d;
        }

        /** The same member after it has voted in a later epoch, in which it masters nothing yet. */
        public BeatEntry raised(final long later) {
            return new BeatEntry(
                    group, groupVersion, later, SLAVE, sync, startLsn, endLsn, endEpoch, accepted, 0, weight);
        }
    }

    /** A candidate's request for a vote, with the end of its log. */
    record VoteAsk(
            int group, int groupVersion, long epoch, long endLsn, long endEpoch, int weight, int goes, boolean manual)
            implements Msg {}

    /** A vote, or why it was refused. */
    record VoteReply(int group, long epoch, boolean granted, long epochSeen, String why) implements Msg {}

    /** The master asks a slave that has its whole log to stand at once: a manual switchover. */
    record StandNow(int group, long epoch) implements Msg {}

    /**
     * A slave asks its source for the log; what it has synced is its copy's acknowledgement, and the chain tells
     * whether it is the same log.
     *
     * @param accepted how far the sender knows the log to be accepted; {@link #UNKNOWN} where it rebuilds its copy and
     *     has to hear it from an acting master
     * @param imageSum which image of a full sync the slave has begun to collect, 0 for none
     * @param imageOffset how much of that image it has
     */
    record Pull(
            int group,
            int groupVersion,
            long epoch,
            long nextLsn,
            long prevEpoch,
            long syncedLsn,
            long syncedEpoch,
            long accepted,
            boolean lost,
            long chain,
            long imageSum,
            long imageOffset)
            implements Msg {
        public static final long UNKNOWN = -1;
    }

    /**
     * The asked LSN and epoch are the end of the log that the pull told of; only to that log do a cut and a full sync
     * apply.
     *
     * @param image a part of the image of a full sync, empty in other replies
     * @param imageSum which image it is a part of
     * @param imageTotal the size of that image
     * @param imageOffset where in the image the part begins
     */
    record PullReply(
            int group,
            int groupVersion,
            long epoch,
            int kind,
            int standing,
            long accepted,
            long askedLsn,
            long askedEpoch,
            long tryLsn,
            byte[] image,
            List<Rec> recs,
            long imageSum,
            long imageTotal,
            long imageOffset)
            implements Msg {
        /** A reply without an image. */
        public PullReply(
                final int group,
                final int groupVersion,
                final long epoch,
                final int kind,
                final int standing,
                final long accepted,
                final long askedLsn,
                final long askedEpoch,
                final long tryLsn,
                final byte[] image,
                final List<Rec> recs) {
            this(
                    group,
                    groupVersion,
                    epoch,
                    kind,
                    standing,
                    accepted,
                    askedLsn,
                    askedEpoch,
                    tryLsn,
                    image,
                    recs,
                    0,
                    image.length,
                    0);
        }

        public static final int RECORDS = 0;
        public static final int MISMATCH = 1;
        public static final int FULL = 2;
        public static final int SLAVE = 0;
        public static final int MASTER = 1;
        public static final int ACTING_MASTER = 2;
    }

    /** A gateway hands a caller's publish to the master of the topic's group; jobId ties the reply to it. */
    record Publish(
            long jobId, int group, long specVersion, long seq, String tenant, String topic, String sender, String text)
            implements Msg {}

    /** The end of a publish as the master knows it; the position is set where it was accepted. */
    record PublishReply(long jobId, int outcome, long position, int masterHint, long epoch, String why) implements Msg {
        public static final int ACCEPTED = 0;
        public static final int NOT_MASTER = 1;
        public static final int REFUSED_FOR_GOOD = 2;
        public static final int UNSETTLED = 3;
        public static final int BUSY = 4;
    }

    /**
     * A front reads accepted records of some topics after a position each; tail asks for the present position alone.
     *
     * @param hold answered when there is something, or after a while; then all topics are read from one position
     * @param at that position
     * @param edition of the topics of a held fetch: told once, and not again while they are the same
     */
    record Fetch(long jobId, int group, boolean tail, boolean hold, long at, long edition, List<TopicAt> topics)
            implements Msg {}

    /** A topic and the position after which its records are wanted. */
    record TopicAt(String topic, long from) {}

    /** Accepted records up to the position that was looked through, and the topics of which older records are gone. */
    record FetchReply(long jobId, int group, int status, long scannedTo, List<String> gone, List<Rec> recs)
            implements Msg {
        public static final int OK = 0;
        public static final int NOT_HERE = 1;
        /** The edition of the topics is not known here; they are to be told. */
        public static final int UNTOLD = 2;
    }

    /**
     * A data-plane process asks with the versions that it has. The relay mark: the control master that was named cannot
     * be reached from here. The machine is the identity of the one that it runs on.
     */
    record SpecPoll(
            long pollId,
            int node,
            int role,
            String zone,
            String address,
            String name,
            long specVersion,
            long rosterVersion,
            boolean drain,
            boolean relay,
            long wall,
            long machine)
            implements Msg {
        public static final int FRONT = 1;
        public static final int STORAGE = 2;
        public static final int CONTROLLER = 3;
    }

    /**
     * For the node that polled, whoever carries it; wall is the fleet's clock, 0 while the control master does not know
     * it yet.
     *
     * @param spec the configuration as a difference from the version that the poll told of
     *     ({@link brookpath.state.record.Delta}), empty where that is the newest
     * @param roster the cluster metadata in the same way
     */
    record SpecReply(
            long pollId,
            boolean master,
            int masterHint,
            long epoch,
            long specVersion,
            byte[] spec,
            long rosterVersion,
            byte[] roster,
            int node,
            long wall)
            implements Msg {}

    /** An operator's or another process's job for the control master. */
    record Op(long jobId, String kind, byte[] body) implements Msg {}

    /** The answer to an operation; the status is an HTTP status. */
    record OpReply(long jobId, int status, int retryAfterMs, byte[] body) implements Msg {}

    /**
     * How many sessions of a front listen to each topic of a group.
     *
     * @param onto the edition that these counts change; 0 where they are all there are, the edition itself where
     *     nothing has changed
     */
    record Listen(int group, long edition, long onto, List<TopicCount> counts) implements Msg {}

    /** A topic and how many sessions listen to it. */
    record TopicCount(String topic, int count) {}

    /** Asks a group's master how many sessions listen to a topic. */
    record CountAsk(long jobId, int group, String topic) implements Msg {}

    /** How many sessions listen to a topic. */
    record CountReply(long jobId, int status, int count) implements Msg {
        public static final int OK = 0;
        public static final int NOT_HERE = 1;
    }
}
