package brookpath.programs.boot;

/** A process cannot start with its settings; the message is the reason, for the operator. */
public final class ProcessStartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** @param reason what is in the way */
    public ProcessStartException(final String reason) {
        super(reason);
    }

    /** @param reason what is in the way */
    public ProcessStartException(final String reason, final Throwable cause) {
        super(reason, cause);
    }
}
