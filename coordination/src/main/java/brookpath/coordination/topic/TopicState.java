package brookpath.coordination.topic;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.group.LogState;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * What follows from a topic group's log: the senders' sequences, up to where each topic's history is gone, and the
 * usage per window.
 */
public final class TopicState implements LogState {
    /** {@link #lookUp} gives this for a sequence above the sender's last. */
    public static final long NEW = 0;

    /** {@link #lookUp} gives this for a sequence below the last that was not seen, or too long ago. */
    public static final long TOO_LOW = -1;

    /**
     * A sender is forgotten this long after its last message, by the log's own time. A repeat that is older was given
     * up long before.
     */
    private static final long FORGET_MS = 3_600_000;

    /** What a tenant had accepted in a window. */
    public record Count(long window, String tenant, long publishes, long bytes) {}

    private final ToLongFunction<String> keeping;
    private final SenderSequences senders = new SenderSequences();
    private final UsageWindows usage;

    /**
     * @param keeping how long a topic's history is kept, in milliseconds
     * @param windowMs the length of a usage window
     */
    public TopicState(final ToLongFunction<String> keeping, final long windowMs) {
        this.keeping = keeping;
        usage = new UsageWindows(windowMs);
    }

    /** The newest window whose closing record lies at or before the position; -1 for none. */
    public long closed(final long position) {
        return usage.closed(position);
    }

    /** The counts of the windows after one, up to another. */
    public List<Count> counts(final long after, final long upTo) {
        return usage.counts(after, upTo);
    }

    /** How many (topic, sender) pairs are remembered. */
    public int senders() {
        return senders.senderCount();
    }

    /** The position of a repeat, NEW, or TOO_LOW for a sequence below the last that was not seen. */
    public long lookUp(final String topic, final String sender, final long seq) {
        return senders.lookUp(topic, sender, seq);
    }

    /** The LSN of the newest record of the topic that is no longer kept. */
    public long gone(final String topic) {
        return senders.trimmedThrough(topic);
    }

    @Override
    public void apply(final Rec rec) {
        if (rec.kind() == Rec.CLOSE) {
            usage.close(Pack.reader(rec.body()).num(), rec.lsn());
            // decided by the log alone, so that each member forgets the same senders at the same position
            senders.forget(rec.stamp() - FORGET_MS);
        } else if (rec.kind() == Rec.PUBLISH) {
            usage.add(rec.stamp(), rec.tenant(), rec.text().getBytes(UTF_8).length);
            senders.add(rec.topic(), rec.sender(), rec.seq(), rec.lsn(), rec.stamp());
        }
    }

    @Override
    public void trimmed(final Rec rec) {
        if (rec.kind() == Rec.PUBLISH) {
            senders.trimmed(rec.topic(), rec.lsn());
        }
    }

    @Override
    public boolean keeps(final Rec rec, final long now, final int newerRecords, final long newerBytes) {
        return now - rec.learnedAt() <= keeping.applyAsLong(rec.kind() == Rec.PUBLISH ? rec.topic() : "");
    }

    @Override
    public byte[] save() {
        final Pack pack = Pack.writer();
        senders.save(pack);
        usage.save(pack);
        return pack.done();
    }

    @Override
    public void load(final byte[] saved) {
        final Pack in = Pack.reader(saved);
        senders.load(in);
        usage.load(in);
    }
}
