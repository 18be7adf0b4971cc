package brookpath.state.wal;

/** The data folder holds something that no version of the write-ahead log wrote. */
public final class CorruptLogException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CorruptLogException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
