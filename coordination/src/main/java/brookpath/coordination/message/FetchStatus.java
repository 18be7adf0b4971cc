package brookpath.coordination.message;

/** Whether a fetch was served; the code is on the wire. */
public enum FetchStatus {
    /** Served. */
    OK(0),
    /** This node cannot be read just now; another replica is to be asked. */
    NOT_HERE(1),
    /** The version of the topics is not known here; the topics are to be sent. */
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

    /** The constant with this code; one that is not known is taken for a fetch to be sent elsewhere. */
    public static FetchStatus ofCode(final int code) {
        for (final FetchStatus status : VALUES) {
            if (status.code == code) {
                return status;
            }
        }
        return NOT_HERE;
    }
}
