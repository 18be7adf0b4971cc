package brookpath.state.wal;

/** Thrown if the data folder holds a file whose name no version of the write-ahead log uses. */
public final class CorruptLogException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CorruptLogException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
