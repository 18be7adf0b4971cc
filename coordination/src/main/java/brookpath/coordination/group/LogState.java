package brookpath.coordination.group;

import brookpath.state.record.LogRecord;

/**
 * The state that follows from a group's log alone, so that replicas with equal logs have equal states. Not thread-safe:
 * the group's state thread owns it.
 */
public interface LogState {
    /** Applies the next record of the log, which need not be committed yet. */
    void apply(LogRecord logRecord);

    /** The record is no longer kept in the log; its effect on the state stays. */
    void trimmed(LogRecord logRecord);

    /** The complete state as bytes, for a snapshot. */
    byte[] save();

    /** Replaces the state by one that {@link #save} has returned. */
    void load(byte[] saved);

    /** Everything up to the position is committed; what only an older position needs may be dropped. */
    default void committed(final long index) {
        // why: most states keep nothing by position
    }

    /**
     * Whether a replica still keeps a committed record in memory for followers that lag.
     *
     * @param now by the steady clock, as {@link LogRecord#learnedAt}
     * @param newerRecords how many records follow it
     * @param newerBytes how many bytes those have
     */
    boolean keeps(LogRecord logRecord, long now, int newerRecords, long newerBytes);
}
