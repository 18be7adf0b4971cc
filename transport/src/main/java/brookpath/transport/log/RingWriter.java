package brookpath.transport.log;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/** A tinylog writer that adds the lines to the {@link LogRing}, which is written out at an error. Thread-safe. */
public final class RingWriter implements Writer {
    /**
     * Called by tinylog, which instantiates the writer that tinylog.properties names.
     *
     * @param properties the writer's properties in that file; none is used
     */
    public RingWriter(final Map<String, String> properties) {
        // Nothing to set up: LogRing gets its file only once the settings have been read.
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
        LogRing.add(line.toString());
        if (entry.getLevel() == Level.ERROR) {
            LogRing.writeOut();
        }
    }

    @Override
    public void flush() {
        // The ring is written out only when an error is logged.
    }

    @Override
    public void close() {
        // As for flush: only an error writes the ring out.
    }
}
