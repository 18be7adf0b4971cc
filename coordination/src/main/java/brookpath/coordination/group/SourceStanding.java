package brookpath.coordination.group;

import brookpath.coordination.message.PeerMessage.PullReply;

/** The role of the member that answers a pull, and whether it acts as the leader; the code is on the wire. */
enum SourceStanding {
    /** A follower that is in sync. */
    FOLLOWER(PullReply.FOLLOWER),
    /** A leader that may not know all that was committed before its term. */
    LEADER(PullReply.LEADER),
    /** A leader that has committed a record of its own term and holds the lease. */
    ACTING_LEADER(PullReply.ACTING_LEADER);

    private final int code;

    SourceStanding(final int code) {
        this.code = code;
    }

    /** The code on the wire. */
    int code() {
        return code;
    }

    /** Whether the sender of the reply had this standing. */
    boolean is(final PullReply reply) {
        return reply.standing() == code;
    }
}
