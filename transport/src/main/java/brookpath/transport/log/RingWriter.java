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

/** tinylog's writer here: a ring in memory, written out when something goes wrong, and little else. */
public final class RingWriter implements Writer {
    private static final int LINES = 4096;
    /** For looking closely at a trial: each line is written out at once as well. */
    private static final boolean ECHO = Boolean.getBoolean("brookpath.echo");

    private static final ArrayDeque<String> RING = new ArrayDeque<>();
    private static volatile Path file;

    public RingWriter(final Map<String, String> properties) {
        // why: tinylog makes the writer by name; the file is known only once the settings are read
    }

    /** Where the ring goes when something goes wrong; null for standard error. */
    public static void to(final Path path) {
        file = path;
    }

    public static synchronized Collection<String> lines() {
        return java.util.List.copyOf(RING);
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
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
        if (ECHO) {
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
        // why: what is in the ring is not meant for a file until something goes wrong
    }

    @Override
    public void close() {
        // why: as above
    }
}
