package brookpath.programs.boot;

/** Thrown when a process cannot start; the message gives the operator the reason. */
public final class ProcessStartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** @param reason what prevents the start */
    public ProcessStartException(final String reason) {
        super(reason);
    }

    /** @param reason what prevents the start */
    public ProcessStartException(final String reason, final Throwable cause) {
        super(reason, cause);
    }
}
