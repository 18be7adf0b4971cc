package brookpath.coordination.group;

import brookpath.coordination.message.PeerMessage.HeartbeatEntry;

/** A member's role in its group; the code goes out with each heartbeat. */
public enum GroupRole {
    FOLLOWER(HeartbeatEntry.FOLLOWER),
    CANDIDATE(HeartbeatEntry.CANDIDATE),
    LEADER(HeartbeatEntry.LEADER);

    private final int code;

    GroupRole(final int code) {
        this.code = code;
    }

    /** The number on the wire. */
    public int code() {
        return code;
    }
}
