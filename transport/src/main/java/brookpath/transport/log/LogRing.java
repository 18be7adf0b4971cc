package brookpath.transport.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.List;

/**
 * A ring buffer of the last lines of the process's log, written out when an error is logged. The state thread logs here
 * directly: its messages are already formatted, and loading the logging library delays the start on a small machine too
 * much. Everything else logs through the library, whose {@link RingWriter} adds the lines here. Thread-safe.
 */
public final class LogRing {
    private static final int MAX_LINES = 4_096;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int NANOS_PER_MILLI = 1_000_000;
    private static final String INFO = "INFO";
    private static final String ERROR = "ERROR";
    /** For debugging: each line is also written to standard error at once. */
    private static final boolean ECHO = Boolean.getBoolean("brookpath.echo");

    private static final ArrayDeque<String> LINES = new ArrayDeque<>();
    private static volatile Path file;

    private LogRing() {}

    /** Sets the file that the ring is appended to when an error is logged; null for standard error. */
    public static void setFile(final Path path) {
        file = path;
    }

    /** A copy of the lines in the ring, oldest first, without those that were already written out. */
    public static synchronized List<String> lines() {
        return List.copyOf(LINES);
    }

    /** Adds a line. */
    public static void info(final String text) {
        add(INFO, text, ECHO);
    }

    /** Adds a line and prints it at once; for rare events whose order in time operators need to see. */
    public static void milestone(final String text) {
        add(INFO, text, true);
    }

    /** Adds a line and writes the ring out. */
    public static void error(final String text) {
        add(ERROR, text, ECHO);
        writeOut();
    }

    private static void add(final String level, final String text, final boolean printed) {
        add(now() + " " + level + " " + Thread.currentThread().getName() + " " + text, printed);
    }

    /** Adds a line that is already formatted, including its timestamp. */
    static void add(final String line) {
        add(line, ECHO);
    }

    private static void add(final String line, final boolean printed) {
        if (printed) {
            System.err.println(line);
        }
        synchronized (LogRing.class) {
            LINES.addLast(line);
            if (LINES.size() > MAX_LINES) {
                LINES.removeFirst();
            }
        }
    }

    private static String now() {
        final long ms = System.currentTimeMillis();
        final int nanos = (int) Math.floorMod(ms, (long) MILLIS_PER_SECOND) * NANOS_PER_MILLI;
        // Not an Instant, whose text needs the formatters of java.time.
        return LocalDateTime.ofEpochSecond(Math.floorDiv(ms, (long) MILLIS_PER_SECOND), nanos, ZoneOffset.UTC) + "Z";
    }

    /** Writes the ring out and empties it. */
    static synchronized void writeOut() {
        final String text = String.join("\n", LINES) + "\n";
        LINES.clear();
        if (file == null) {
            System.err.print(text);
            return;
        }
        try {
            Files.writeString(file, text, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (final IOException ex) {
            System.err.print(text);
            throw new UncheckedIOException(ex);
        }
    }
}
