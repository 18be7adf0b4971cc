package brookpath.coordination.message;

/** Whether listeners could be counted; the code is sent on the wire. */
public enum ListenerCountStatus {
    /** Counted. */
    OK(0),
    /** This node does not lead the group, or has no lease. */
    NOT_HERE(1);

    private static final ListenerCountStatus[] VALUES = values();

    private final int code;

    ListenerCountStatus(final int code) {
        this.code = code;
    }

    /** The code on the wire. */
    public int code() {
        return code;
    }

    /** The constant with this code; {@link #NOT_HERE} if it is unknown. */
    public static ListenerCountStatus ofCode(final int code) {
        for (final ListenerCountStatus status : VALUES) {
            if (status.code == code) {
                return status;
            }
        }
        return NOT_HERE;
    }
}
