package brookpath.state.wal;

/**
 * Names of the files of the log: {@code seg-N} holds the entries written since {@code snap-N}, and {@code snap-N.tmp}
 * is a snapshot that is not complete yet.
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

    /** Whether a segment or snapshot has a number, as all that a log has named have. */
    static boolean hasNumber(final String name) {
        final String number = name.substring(name.indexOf('-') + 1);
        return !number.isEmpty() && number.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    /** The number of a segment or snapshot; throws {@link CorruptLogException} where the name has none. */
    static long number(final String name) {
        try {
            return Long.parseLong(name.substring(name.indexOf('-') + 1));
        } catch (final NumberFormatException ex) {
            throw new CorruptLogException(name + ": not a file of this log", ex);
        }
    }
}
