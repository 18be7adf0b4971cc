package brookpath.coordination.group;

/** The state of a member's replica; the code is sent with each heartbeat. */
public enum SyncState {
    /** It has everything that its leader has committed. */
    IN_SYNC(0),
    /** It lags behind its leader. */
    CATCHING_UP(1),
    /** It has lost its log, and does not count until it is rebuilt. */
    LOST(2);

    private final int code;

    SyncState(final int code) {
        this.code = code;
    }

    /** The code on the wire. */
    public int code() {
        return code;
    }
}
