package brookpath.coordination.node.usage;

/**
 * How a call to the platform ended. A report may be sent again after any end but the first: its counts come from the
 * control log, so a repeat is exact, and the platform ignores exact repeats of a window.
 */
public enum PostOutcome {
    /** The platform has taken it. */
    ACCEPTED,
    /** It certainly did not arrive: no connection came about. */
    NOT_SENT,
    /** The platform did not take it, for there are too many calls just now. */
    THROTTLED,
    /** The platform has seen a higher fencing token: another process leads, or did. */
    FENCED,
    /** The platform answered that it failed, or refused for another reason. Whether it was counted is not known. */
    FAILED,
    /** It was sent, and no whole answer came: silence, a reset, or an answer that cannot be read. */
    UNKNOWN;

    private static final int SUCCESS = 2;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;

    /** What an HTTP status of the platform says. */
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
