package brookpath.programs.boot;

/** A process cannot start as it is told to; the message says why, for the operator. */
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
