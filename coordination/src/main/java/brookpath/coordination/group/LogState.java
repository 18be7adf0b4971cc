package brookpath.coordination.group;

import brookpath.state.record.Rec;

/** What follows from a group's log alone. */
public interface LogState {
    void apply(Rec rec);

    /** The record leaves the kept history; its effect stays. */
    void trimmed(Rec rec);

    byte[] save();

    void load(byte[] saved);

    /** Everything up to the position is accepted; what only an older position needs may be dropped. */
    default void accepted(final long lsn) {
        // why: most states hold nothing by position
    }

    /**
     * Whether a copy still keeps an accepted record in memory for slaves that lag.
     *
     * @param now by the steady clock, as {@link Rec#learnedAt}
     * @param newerRecords how many records follow it
     * @param newerBytes how many bytes those have
     */
    boolean keeps(Rec rec, long now, int newerRecords, long newerBytes);
}
