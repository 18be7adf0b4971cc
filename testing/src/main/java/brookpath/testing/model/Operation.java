package brookpath.testing.model;

/**
 * An operation on the shared log, as its caller saw it.
 *
 * @param invoked when it was invoked, as a position in the history
 * @param returned when it was confirmed; {@link #INDETERMINATE} if it may or may not have taken effect
 * @param value what an append wrote; 0 for a read
 * @param read the values that a read returned; empty for an append
 */
record Operation(long invoked, long returned, long value, java.util.List<Long> read) {
    static final long INDETERMINATE = Long.MAX_VALUE;

    boolean isAppend() {
        return value != 0;
    }

    boolean isIndeterminate() {
        return returned == INDETERMINATE;
    }
}
