package brookpath.transport.log;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/** tinylog's writer: passes its lines on to the {@link LogRing}, which is written out at an error. Thread-safe. */
public final class RingWriter implements Writer {
    /**
     * Called by tinylog, which finds the writer by its name in tinylog.properties.
     *
     * @param properties those of the writer in that file; none is read
     */
    public RingWriter(final Map<String, String> properties) {
        // why: tinylog makes the writer by name; the file is known only once the settings are read
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
        // why: the ring is written out only when an error is logged
    }

    @Override
    public void close() {
        // why: as above
    }
}
