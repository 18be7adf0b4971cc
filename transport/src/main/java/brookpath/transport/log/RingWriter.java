package brookpath.transport.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * tinylog's writer: keeps the last lines in memory and writes them out when an error is logged. Lines with the tag
 * {@link #PRINTED_AT_ONCE} are besides written to standard error as they come. Thread-safe.
 */
public final class RingWriter implements Writer {
    /** The tag of rare lines by which an operator orders what happened over all processes. */
    public static final String PRINTED_AT_ONCE = "milestone";

    private static final int LINES = 4096;
    /** For debugging: each line is also written to standard error at once. */
    private static final boolean ECHO = Boolean.getBoolean("brookpath.echo");

    private static final ArrayDeque<String> RING = new ArrayDeque<>();
    private static volatile Path file;

    /**
     * Called by tinylog, which finds the writer by its name in tinylog.properties.
     *
     * @param properties those of the writer in that file; none is read
     */
    public RingWriter(final Map<String, String> properties) {
        // why: tinylog makes the writer by name; the file is known only once the settings are read
    }

    /** Sets the file that the ring is appended to when an error is logged; null for standard error. */
    public static void to(final Path path) {
        file = path;
    }

    /** A copy of the lines in the ring, oldest first; those written out before are not among them. */
    public static synchronized Collection<String> lines() {
        return java.util.List.copyOf(RING);
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.TAG,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION,
                LogEntryValue.THREAD);
    }

    @Override
    public void write(final LogEntry entry) {
        final StringBuilder line = new StringBuilder()
                .append(entry.getTimestamp().toInstant())
                .append(' ')
                .append(entry.getLevel())
                .append(' ')
                .append(entry.getThread() == null ? "" : entry.getThread().getName())
                .append(' ')
                .append(entry.getMessage());
        if (entry.getException() != null) {
            line.append(" | ").append(entry.getException());
            for (final StackTraceElement el : entry.getException().getStackTrace()) {
                line.append("\n    at ").append(el);
            }
        }
        if (ECHO || PRINTED_AT_ONCE.equals(entry.getTag())) {
            System.err.println(line);
        }
        synchronized (RingWriter.class) {
            RING.addLast(line.toString());
            if (RING.size() > LINES) {
                RING.removeFirst();
            }
            if (entry.getLevel() == Level.ERROR) {
                writeOut();
            }
        }
    }

    private static void writeOut() {
        final String text = String.join("\n", RING) + "\n";
        RING.clear();
        if (file == null) {
            System.err.print(text);
            return;
        }
        try {
            Files.writeString(
                    file,
                    text,
                    StandardCharsets.UTF_8,
                    java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND);
        } catch (final IOException ex) {
            System.err.print(text);
            throw new UncheckedIOException(ex);
        }
    }

    @Override
    public void flush() {
        // why: the ring is written out only when an error is logged
    }

    @Override
    public void close() {
        // why: as above
    }
}
