package brookpath.coordination.message;

/** The outcome of a publish as the leader of its group knows it; the code is sent on the wire. */
public enum PublishOutcome {
    /** Committed, at the position that the reply names. */
    ACCEPTED(0),
    /** Not appended: this node does not lead the group. */
    NOT_LEADER(1),
    /** Not appended, and a retry would be refused as well: the sequence number is below the sender's last. */
    REFUSED_FOR_GOOD(2),
    /** Appended, but not committed in time; it may or may not be committed later. */
    UNSETTLED(3),
    /** Not appended; a retry may succeed. */
    BUSY(4);

    private static final PublishOutcome[] VALUES = values();

    private final int code;

    PublishOutcome(final int code) {
        this.code = code;
    }

    /** The code on the wire. */
    public int code() {
        return code;
    }

    /** The constant with this code; {@link #BUSY} if it is unknown, so that the publish is retried. */
    public static PublishOutcome ofCode(final int code) {
        for (final PublishOutcome outcome : VALUES) {
            if (outcome.code == code) {
                return outcome;
            }
        }
        return BUSY;
    }
}
