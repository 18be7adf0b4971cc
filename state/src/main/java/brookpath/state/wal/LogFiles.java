package brookpath.state.wal;

/**
 * The file names of the log: segment {@code seg-N} holds the entries written since snapshot {@code snap-N.parts}, and
 * {@code snap-N.parts.tmp} is a snapshot that is not complete yet. Earlier releases wrote a snapshot as one entry, to
 * {@code snap-N}; they refuse to start on a folder with a snapshot in parts, and leave it unchanged. The files of a
 * damaged log are set aside under names that begin with {@code aside-} and the time.
 */
final class LogFiles {
    private static final String SEGMENT_PREFIX = "seg-";
    private static final String SNAPSHOT_PREFIX = "snap-";
    private static final String PARTS_SUFFIX = ".parts";
    private static final String TEMPORARY_SUFFIX = ".tmp";
    private static final String ASIDE_PREFIX = "aside-";

    private LogFiles() {}

    static String segment(final long number) {
        return SEGMENT_PREFIX + number;
    }

    static String snapshot(final long number) {
        return SNAPSHOT_PREFIX + number + PARTS_SUFFIX;
    }

    /** Whether a snapshot, by its name, is in parts; else an earlier release wrote it. */
    static boolean isInParts(final String name) {
        return name.endsWith(PARTS_SUFFIX);
    }

    /** The name under which a file of a damaged log is kept. */
    static String setAside(final String name, final long wallMs) {
        return ASIDE_PREFIX + wallMs + '-' + name;
    }

    static boolean isSetAside(final String name) {
        return name.startsWith(ASIDE_PREFIX);
    }

    /** When a file was set aside, as text: all files of one log have the same. */
    static String timeSetAside(final String name) {
        return name.substring(ASIDE_PREFIX.length(), name.indexOf('-', ASIDE_PREFIX.length()));
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
        final String number = numberText(name);
        return !number.isEmpty() && number.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    private static String numberText(final String name) {
        final int end = isSnapshot(name) && isInParts(name) ? name.length() - PARTS_SUFFIX.length() : name.length();
        return name.substring(name.indexOf('-') + 1, end);
    }

    /** Returns the number of a segment or snapshot; throws {@link CorruptLogException} if the name has none. */
    static long number(final String name) {
        try {
            return Long.parseLong(numberText(name));
        } catch (final NumberFormatException ex) {
            throw new CorruptLogException(name + ": not a file name of the write-ahead log", ex);
        }
    }
}
