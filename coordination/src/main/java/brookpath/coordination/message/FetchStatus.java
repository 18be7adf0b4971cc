package brookpath.coordination.message;

/** Whether a fetch was served; the code is sent on the wire. */
public enum FetchStatus {
    /** Served. */
    OK(0),
    /** This node cannot serve reads now; the fetch is to be sent to another replica. */
    NOT_HERE(1),
    /** This node does not know this edition of the topics; the fetch has to be sent again with the topics. */
    TOPICS_UNKNOWN(2);

    private static final FetchStatus[] VALUES = values();

    private final int code;

    FetchStatus(final int code) {
        this.code = code;
    }

    /** The code on the wire. */
    public int code() {
        return code;
    }

    /**
     * The constant with this code; {@link #NOT_HERE} if it is unknown, so that the fetch is sent to another replica.
     */
    public static FetchStatus ofCode(final int code) {
        for (final FetchStatus status : VALUES) {
            if (status.code == code) {
                return status;
            }
        }
        return NOT_HERE;
    }
}
