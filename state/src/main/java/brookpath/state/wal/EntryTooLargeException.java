package brookpath.state.wal;

/** Thrown if an entry is larger than {@link WriteAheadLog#MAX_ENTRY_BYTES}; nothing of it has been written. */
public final class EntryTooLargeException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    EntryTooLargeException(final long bytes) {
        super("entry of " + bytes + " bytes, the limit is " + WriteAheadLog.MAX_ENTRY_BYTES);
    }
}
