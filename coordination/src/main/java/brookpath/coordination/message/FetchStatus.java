package brookpath.coordination.message;

/** Whether a fetch was served; the code is on the wire. */
public enum FetchStatus {
    /** Served. */
    OK(0),
    /** This node cannot serve reads now; another replica is to be asked. */
    NOT_HERE(1),
    /** The edition of the topics is not known here; the topics have to be sent. */
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

    /** The constant with this code; {@link #NOT_HERE} where it is unknown, so that the fetch is sent elsewhere. */
    public static FetchStatus ofCode(final int code) {
        for (final FetchStatus status : VALUES) {
            if (status.code == code) {
                return status;
            }
        }
        return NOT_HERE;
    }
}
