package brookpath.protocol.frame;

/** Thrown if a frame cannot be decoded: unknown schema or template, truncated, or a field length out of range. */
public final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(final String message) {
        super(message);
    }

    MalformedFrameException(final String message, final RuntimeException cause) {
        super(message, cause);
    }
}
