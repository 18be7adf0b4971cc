package brookpath.coordination.group;

/** Checks a few records of a log at a time, in a cycle, to find damaged records that no read has encountered. */
final class LogSweep {
    /** No record is damaged. */
    static final long NONE = 0;

    private static final int RECORDS_AT_ONCE = 16;

    private final RaftLog log;
    private int position;

    LogSweep(final RaftLog log) {
        this.log = log;
    }

    /** Checks the next records; the index of the first damaged one, else {@link #NONE}. */
    long nextDamaged() {
        for (int checked = 0; checked < RECORDS_AT_ONCE && position < log.size(); checked++) {
            final long index = log.baseIndex() + 1 + position++;
            if (!log.logRecord(index).isIntact()) {
                return index;
            }
        }
        if (position >= log.size()) {
            position = 0;
        }
        return NONE;
    }

    /** Restarts from the base of the log, after the log was replaced. */
    void restart() {
        position = 0;
    }
}
