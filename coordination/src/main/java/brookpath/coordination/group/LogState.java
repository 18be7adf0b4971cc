package brookpath.coordination.group;

import brookpath.state.record.LogRecord;

/**
 * The state machine of a group: its state depends on the log alone, so replicas with equal logs have equal states. Not
 * thread-safe: the group's state thread owns it.
 */
public interface LogState {
    /** Applies the next record of the log, which may not be committed yet. */
    void apply(LogRecord logRecord);

    /** The record was trimmed from the log; its effect on the state remains. */
    void trimmed(LogRecord logRecord);

    /** Serializes the complete state for a snapshot. */
    byte[] save();

    /** Replaces the state by one that {@link #save} has serialized. */
    void load(byte[] saved);

    /** The log is committed up to the index; data that only an earlier index needs may be dropped. */
    default void committed(final long index) {
        // most states keep no data per index
    }

    /**
     * Whether records are kept for a time after a replica has learned them. What one member has trimmed is then old
     * enough for all members to trim, also for one that has learned it later, or again after a restart.
     */
    boolean keepsByAge();

    /**
     * Whether a replica still keeps a committed record in memory, for followers that lag.
     *
     * @param now of the steady clock, as {@link LogRecord#learnedAt}
     * @param newerRecords how many records follow it
     * @param newerBytes the total size of those records
     */
    boolean keeps(LogRecord logRecord, long now, int newerRecords, long newerBytes);
}
