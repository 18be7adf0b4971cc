package brookpath.state.disk;

/** Thrown if another process holds the lock of the data folder. */
public final class DataFolderInUseException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    DataFolderInUseException(final String message) {
        super(message);
    }
}
