package brookpath.coordination.group;

import brookpath.state.record.LogRecord;

/** What follows from a group's log alone. */
public interface LogState {
    void apply(LogRecord logRecord);

    /** The record leaves the kept history; its effect stays. */
    void trimmed(LogRecord logRecord);

    byte[] save();

    void load(byte[] saved);

    /** Everything up to the position is committed; what only an older position needs may be dropped. */
    default void committed(final long index) {
        // why: most states hold nothing by position
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
