package brookpath.state.wal;

/**
 * The file names of the log: segment {@code seg-N} holds the entries written since snapshot {@code snap-N}, and
 * {@code snap-N.tmp} is a snapshot that is not complete yet.
 */
final class LogFiles {
    private static final String SEGMENT_PREFIX = "seg-";
    private static final String SNAPSHOT_PREFIX = "snap-";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private LogFiles() {}

    static String segment(final long number) {
        return SEGMENT_PREFIX + number;
    }

    static String snapshot(final long number) {
        return SNAPSHOT_PREFIX + number;
    }

    static String temporarySnapshot(final long number) {
        return snapshot(number) + TEMPORARY_SUFFIX;
    }

    static boolean isTemporary(final String name) {
        return name.endsWith(TEMPORARY_SUFFIX);
    }

    static boolean isSegment(final String name) {
        return name.startsWith(SEGMENT_PREFIX);
    }

    static boolean isSnapshot(final String name) {
        return name.startsWith(SNAPSHOT_PREFIX);
    }

    /** Whether the name of a segment or snapshot ends in a number, as all that the log writes do. */
    static boolean hasNumber(final String name) {
        final String number = name.substring(name.indexOf('-') + 1);
        return !number.isEmpty() && number.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    /** Returns the number of a segment or snapshot; throws {@link CorruptLogException} if the name has none. */
    static long number(final String name) {
        try {
            return Long.parseLong(name.substring(name.indexOf('-') + 1));
        } catch (final NumberFormatException ex) {
            throw new CorruptLogException(name + ": not a file name of the write-ahead log", ex);
        }
    }
}
