package brookpath.protocol.frame;

/** A frame that cannot be decoded: of an unknown schema or template, cut short, or with a field that does not fit. */
public final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(final String message) {
        super(message);
    }

    MalformedFrameException(final String message, final RuntimeException cause) {
        super(message, cause);
    }
}
