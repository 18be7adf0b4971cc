package brookpath.coordination.topic;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.group.LogState;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/** What follows from a topic group's log: the senders' sequences, and up to where each topic's history is gone. */
public final class TopicState implements LogState {
    /** Looks up say so when a repeat is too old to know its position. */
    public static final long NEW = 0;

    public static final long TOO_LOW = -1;
    private static final int REMEMBERED = 256;

    /**
     * A sender is forgotten this long after its last message, by the log's own time. A repeat that is older was given
     * up long before.
     */
    private static final long FORGET_MS = 3_600_000;

    private static final class Sender {
        long last;
        long stamp;
        final ArrayDeque<long[]> recent = new ArrayDeque<>();
    }

    private static final class Line {
        long gone;
        final TreeMap<String, Sender> senders = new TreeMap<>();
    }

    private static final int KEPT_WINDOWS = 360;

    /** What a tenant had accepted in a window. */
    public record Count(long window, String tenant, long publishes, long bytes) {}

    private final ToLongFunction<String> keeping;
    private final long windowMs;
    private final TreeMap<String, Line> lines = new TreeMap<>();
    private final TreeMap<Long, TreeMap<String, long[]>> usage = new TreeMap<>();
    private final TreeMap<Long, Long> closedAt = new TreeMap<>();
    private int senders;

    public TopicState(final ToLongFunction<String> keeping, final long windowMs) {
        this.keeping = keeping;
        this.windowMs = windowMs;
    }

    /** The newest window whose closing record lies at or before the position; -1 for none. */
    public long closed(final long position) {
        for (final Map.Entry<Long, Long> e : closedAt.descendingMap().entrySet()) {
            if (e.getValue() <= position) {
                return e.getKey();
            }
        }
        return -1;
    }

    /** The counts of the windows after one, up to another. */
    public List<Count> counts(final long after, final long upTo) {
        final List<Count> list = new ArrayList<>();
        usage.subMap(after, false, upTo, true)
                .forEach((w, byTenant) -> byTenant.forEach((t, n) -> list.add(new Count(w, t, n[0], n[1]))));
        return list;
    }

    private void use(final long window, final String tenant, final long publishes, final long bytes) {
        final long[] n = usage.computeIfAbsent(window, k -> new TreeMap<>()).computeIfAbsent(tenant, k -> new long[2]);
        n[0] += publishes;
        n[1] += bytes;
        if (usage.size() > KEPT_WINDOWS) {
            // why: nothing may go uncounted however long the control plane is away; the oldest are counted with the
            // next
            final Map.Entry<Long, TreeMap<String, long[]>> oldest = usage.pollFirstEntry();
            oldest.getValue().forEach((t, v) -> use(usage.firstKey(), t, v[0], v[1]));
        }
    }

    private void forget(final long before) {
        for (final Line line : lines.values()) {
            final int was = line.senders.size();
            line.senders.values().removeIf(snd -> snd.stamp < before);
            senders -= was - line.senders.size();
        }
        // why: what is gone of a topic must be remembered, or a cursor from before would pass for a good one; it is one
        // number
    }

    /** How many (topic, sender) pairs are remembered. */
    public int senders() {
        return senders;
    }

    /** The position of a repeat, NEW, or TOO_LOW for a sequence below the last that was not seen. */
    public long lookUp(final String topic, final String sender, final long seq) {
        final Line line = lines.get(topic);
        final Sender snd = line == null ? null : line.senders.get(sender);
        if (snd == null || seq > snd.last) {
            return NEW;
        }
        for (final long[] seen : snd.recent) {
            if (seen[0] == seq) {
                return seen[1];
            }
        }
        return TOO_LOW;
    }

    /** The LSN of the newest record of the topic that is no longer kept. */
    public long gone(final String topic) {
        final Line line = lines.get(topic);
        return line == null ? 0 : line.gone;
    }

    @Override
    public void apply(final Rec rec) {
        if (rec.kind() == Rec.CLOSE) {
            closedAt.put(Pack.reader(rec.body()).num(), rec.lsn());
            if (closedAt.size() > KEPT_WINDOWS) {
                closedAt.pollFirstEntry();
            }
            // why: decided by the log alone, so that each member forgets the same senders at the same position
            forget(rec.stamp() - FORGET_MS);
        }
        if (rec.kind() != Rec.PUBLISH) {
            return;
        }
        // why: what a master with a slow clock stamps after a window was closed belongs to the next
        use(
                Math.max(rec.stamp() / windowMs, closedAt.isEmpty() ? 0 : closedAt.lastKey() + 1),
                rec.tenant(),
                1,
                rec.text().getBytes(UTF_8).length);
        final Sender snd = lines.computeIfAbsent(rec.topic(), k -> new Line())
                .senders
                .computeIfAbsent(rec.sender(), k -> {
                    senders++;
                    return new Sender();
                });
        snd.last = rec.seq();
        snd.stamp = rec.stamp();
        snd.recent.addLast(new long[] {rec.seq(), rec.lsn()});
        if (snd.recent.size() > REMEMBERED) {
            snd.recent.removeFirst();
        }
    }

    @Override
    public void trimmed(final Rec rec) {
        if (rec.kind() == Rec.PUBLISH) {
            lines.computeIfAbsent(rec.topic(), k -> new Line()).gone = rec.lsn();
        }
    }

    @Override
    public boolean keeps(final Rec rec, final long now, final int newerRecords, final long newerBytes) {
        return now - rec.learnedAt() <= keeping.applyAsLong(rec.kind() == Rec.PUBLISH ? rec.topic() : "");
    }

    @Override
    public byte[] save() {
        final Pack pack = Pack.writer().num(lines.size());
        for (final Map.Entry<String, Line> line : lines.entrySet()) {
            pack.str(line.getKey())
                    .num(line.getValue().gone)
                    .num(line.getValue().senders.size());
            for (final Map.Entry<String, Sender> snd : line.getValue().senders.entrySet()) {
                pack.str(snd.getKey())
                        .num(snd.getValue().last)
                        .num(snd.getValue().stamp)
                        .num(snd.getValue().recent.size());
                for (final Iterator<long[]> it = snd.getValue().recent.iterator(); it.hasNext(); ) {
                    final long[] seen = it.next();
                    pack.num(seen[0]).num(seen[1]);
                }
            }
        }
        pack.num(usage.size());
        usage.forEach((w, byTenant) -> {
            pack.num(w).num(byTenant.size());
            byTenant.forEach((t, n) -> pack.str(t).num(n[0]).num(n[1]));
        });
        pack.num(closedAt.size());
        closedAt.forEach((w, lsn) -> pack.num(w).num(lsn));
        return pack.done();
    }

    @Override
    public void load(final byte[] saved) {
        lines.clear();
        senders = 0;
        usage.clear();
        closedAt.clear();
        final Pack in = Pack.reader(saved);
        for (long n = in.num(); n > 0; n--) {
            final Line line = new Line();
            lines.put(in.str(), line);
            line.gone = in.num();
            for (long s = in.num(); s > 0; s--) {
                final Sender snd = new Sender();
                line.senders.put(in.str(), snd);
                snd.last = in.num();
                snd.stamp = in.num();
                senders++;
                for (long r = in.num(); r > 0; r--) {
                    snd.recent.add(new long[] {in.num(), in.num()});
                }
            }
        }
        for (long n = in.num(); n > 0; n--) {
            final long window = in.num();
            for (long t = in.num(); t > 0; t--) {
                use(window, in.str(), in.num(), in.num());
            }
        }
        for (long n = in.num(); n > 0; n--) {
            closedAt.put(in.num(), in.num());
        }
    }
}
