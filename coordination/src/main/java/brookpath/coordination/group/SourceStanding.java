package brookpath.coordination.group;

import brookpath.coordination.message.PeerMessage.PullReply;

/** As what a member answers a pull; the code is on the wire. */
enum SourceStanding {
    FOLLOWER(PullReply.FOLLOWER),
    /** A leader that may not know all that was committed before its term. */
    LEADER(PullReply.LEADER),
    /** A leader that has committed a record of its own term and holds the lease. */
    ACTING_LEADER(PullReply.ACTING_LEADER);

    private final int code;

    SourceStanding(final int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    /** Whether the reply was sent as this. */
    boolean is(final PullReply reply) {
        return reply.standing() == code;
    }
}
