package brookpath.coordination.group;

import brookpath.coordination.message.PeerMessage.HeartbeatEntry;

/** A member's role in its group; the code is sent with each heartbeat. */
public enum GroupRole {
    /** Pulls the log from the leader, or waits for a leader. */
    FOLLOWER(HeartbeatEntry.FOLLOWER),
    /** Requests votes in a new term. */
    CANDIDATE(HeartbeatEntry.CANDIDATE),
    /** Has won the election of its term; acts only while it holds the lease. */
    LEADER(HeartbeatEntry.LEADER);

    private final int code;

    GroupRole(final int code) {
        this.code = code;
    }

    /** The code on the wire. */
    public int code() {
        return code;
    }
}
