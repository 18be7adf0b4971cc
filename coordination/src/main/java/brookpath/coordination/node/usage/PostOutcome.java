package brookpath.coordination.node.usage;

/**
 * The outcome of a post to the platform. A report may be retried after any outcome but the first: its counts come from
 * the control log, so a repeat is exact, and the platform ignores exact repeats of a window.
 */
public enum PostOutcome {
    /** The platform has accepted it. */
    ACCEPTED,
    /** It certainly did not arrive: no connection was established. */
    NOT_SENT,
    /** The platform did not accept it because of too many calls. */
    THROTTLED,
    /** The platform has seen a higher fencing token: another process leads, or did. */
    FENCED,
    /** The platform reported a failure, or refused it for another reason. Whether it was counted is not known. */
    FAILED,
    /** It was sent, and no complete response arrived: a timeout, a reset, or an unreadable response. */
    UNKNOWN;

    private static final int SUCCESS = 2;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;

    /** The outcome that an HTTP status of the platform stands for. */
    public static PostOutcome ofStatus(final int status) {
        if (status / 100 == SUCCESS) {
            return ACCEPTED;
        }
        return switch (status) {
            case CONFLICT -> FENCED;
            case TOO_MANY_REQUESTS -> THROTTLED;
            default -> FAILED;
        };
    }
}
