package brookpath.coordination.topic;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.group.LogState;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.List;

/**
 * The state derived from a topic group's log: the senders' sequences, the position up to which each topic was trimmed,
 * and the usage per window. Not thread-safe.
 */
public final class TopicState implements LogState {
    /** The result of {@link #lookUp} for a sequence above the sender's last. */
    public static final long NEW = 0;

    /** The result of {@link #lookUp} for a lower sequence that was never appended, or too long ago. */
    public static final long TOO_LOW = -1;

    /**
     * A sender is forgotten this long after its last message, in milliseconds of the timestamps in the log. Its retries
     * have ended long before.
     */
    private static final long FORGET_MS = 3_600_000;

    /** What a tenant has published in a window: messages and bytes. */
    public record Count(long window, String tenant, long publishes, long bytes) {}

    /** How long the records of a topic are kept. */
    @FunctionalInterface
    public interface Retention {
        /**
         * How long a record is kept after this replica has learned it, in milliseconds.
         *
         * @param topic empty for a record that belongs to no topic
         * @param now of the steady clock, in milliseconds
         */
        long retentionMs(String topic, long now);
    }

    private final Retention retention;
    private final SenderSequences senders = new SenderSequences();
    private final UsageWindows usage;

    /**
     * @param retention gives how long a topic's history is kept
     * @param windowMs the length of a usage window, in milliseconds
     */
    public TopicState(final Retention retention, final long windowMs) {
        this.retention = retention;
        usage = new UsageWindows(windowMs);
    }

    /** The newest window whose closing record lies at or before the position; -1 for none. */
    public long newestClosedWindow(final long position) {
        return usage.newestClosedWindow(position);
    }

    /** The counts of the windows after {@code after}, up to and including {@code upTo}. */
    public List<Count> counts(final long after, final long upTo) {
        return usage.counts(after, upTo);
    }

    /** The number of (topic, sender) pairs that are remembered. */
    public int senders() {
        return senders.senderCount();
    }

    /** The log position of a repeat; {@link #NEW} or {@link #TOO_LOW} for a sequence that is not known. */
    public long lookUp(final String topic, final String sender, final long seq) {
        return senders.lookUp(topic, sender, seq);
    }

    /** The position of the topic's newest trimmed record; 0 for none. */
    public long trimmedThrough(final String topic) {
        return senders.trimmedThrough(topic);
    }

    @Override
    public void apply(final LogRecord logRecord) {
        if (logRecord.kind() == LogRecord.USAGE_WINDOW_CLOSE) {
            usage.close(PackedBuffer.reader(logRecord.body()).getLong(), logRecord.index());
            // Depends on the log alone, so that every member forgets the same senders at the same position
            senders.forget(logRecord.timestamp() - FORGET_MS);
        } else if (logRecord.kind() == LogRecord.PUBLISH) {
            usage.add(
                    logRecord.timestamp(), logRecord.tenant(), logRecord.text().getBytes(UTF_8).length);
            senders.add(
                    logRecord.topic(), logRecord.sender(), logRecord.seq(), logRecord.index(), logRecord.timestamp());
        }
    }

    @Override
    public void trimmed(final LogRecord logRecord) {
        if (logRecord.kind() == LogRecord.PUBLISH) {
            senders.trimmed(logRecord.topic(), logRecord.index());
        }
    }

    @Override
    public boolean keepsByAge() {
        return true;
    }

    @Override
    public boolean keeps(final LogRecord logRecord, final long now, final int newerRecords, final long newerBytes) {
        return now - logRecord.learnedAt()
                <= retention.retentionMs(logRecord.kind() == LogRecord.PUBLISH ? logRecord.topic() : "", now);
    }

    @Override
    public byte[] save() {
        final PackedBuffer buffer = PackedBuffer.writer();
        senders.save(buffer);
        usage.save(buffer);
        return buffer.toByteArray();
    }

    @Override
    public void load(final byte[] saved) {
        final PackedBuffer in = PackedBuffer.reader(saved);
        senders.load(in);
        usage.load(in);
    }
}
