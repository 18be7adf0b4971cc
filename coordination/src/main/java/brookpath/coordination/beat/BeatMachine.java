package brookpath.coordination.beat;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Msg.Beat;
import brookpath.coordination.message.Msg.BeatEntry;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Sends and receives sharing-beats. The replication listener thread owns it. */
public final class BeatMachine {
    private static final int OUTSTANDING = 8;

    private record Sent(long at, Map<Integer, BeatEntry> own) {}

    private static final class Sibling {
        final LinkedHashMap<Long, Sent> sent = new LinkedHashMap<>();
        long lastId = -1;
        boolean lastAnswered = true;
        int missed = 2;
        long answeredSentAt = Long.MIN_VALUE / 2;
        Map<Integer, BeatEntry> answeredOwn = Map.of();
        long heardAt = Long.MIN_VALUE / 2;
        long known;
        Map<Integer, BeatEntry> entries = Map.of();
    }

    /** A visitor that has not asked for so many beats is gone. */
    private static final int VISIT = 16;

    private static final int MAX_VISITORS = 4_096;

    private final Tempo tempo;
    private final long period;
    private final Pledges pledges;
    /** Who asks without being asked: until when it is told of changes at once. */
    private final TreeMap<Integer, Long> visitors = new TreeMap<>();

    private final TreeMap<Integer, Sibling> siblings = new TreeMap<>();
    private List<BeatEntry> own = List.of();
    private Map<Integer, BeatEntry> ownById = Map.of();
    private BeatTable table = BeatTable.EMPTY;
    private long nextId;
    private long nextRound = Long.MIN_VALUE / 2;

    /**
     * @param period between two beats: the tempo's for members of groups; who only watches them is told of changes
     *     besides and may ask less often
     */
    public BeatMachine(final Tempo tempo, final long period, final Pledges pledges) {
        this.tempo = tempo;
        this.period = period;
        this.pledges = pledges;
    }

    /** The siblings to beat with; others are replied to and forgotten. */
    public void siblings(final Set<Integer> nodes) {
        siblings.keySet().retainAll(nodes);
        nodes.forEach(n -> siblings.computeIfAbsent(n, k -> new Sibling()));
        swap();
    }

    public void own(final List<BeatEntry> entries) {
        if (entries != own) {
            own = entries;
            ownById = byGroup(entries);
        }
    }

    public BeatTable table() {
        return table;
    }

    /** When the next periodic round is due. */
    public long nextRound() {
        return nextRound;
    }

    /** True where a sibling has gone down, or is up again. */
    public boolean tick(final long now, final Actions out) {
        return now >= nextRound && round(now, true, out);
    }

    /** An extra round besides the period's; it counts no misses. */
    public void beatNow(final long now, final Actions out) {
        round(now, false, out);
    }

    private boolean round(final long now, final boolean periodic, final Actions out) {
        final long up = siblings.values().stream().filter(sib -> sib.missed < 2).count();
        if (periodic) {
            nextRound = now + period;
        }
        final long id = ++nextId;
        siblings.forEach((node, sib) -> {
            if (periodic) {
                sib.missed = sib.lastAnswered ? 0 : sib.missed + 1;
                sib.lastAnswered = false;
                sib.lastId = id;
            }
            sib.sent.put(id, new Sent(now, ownById));
            if (sib.sent.size() > OUTSTANDING) {
                sib.sent.remove(sib.sent.keySet().iterator().next());
            }
            out.send(node, new Beat(false, id, now, sib.known, false, own));
        });
        if (!periodic) {
            visitors.values().removeIf(until -> now >= until);
            visitors.keySet().forEach(node -> out.send(node, new Beat(false, id, now, 0, false, own)));
        }
        swap();
        return siblings.values().stream().filter(sib -> sib.missed < 2).count() != up;
    }

    /**
     * True where it says something that matters at once: who is what has changed, or a master's beat is answered, on
     * which its lease stands.
     */
    public boolean onBeat(final int from, final Beat beat, final long now, final Actions out) {
        final Sibling sib = siblings.get(from);
        boolean news = false;
        if (!beat.reply()) {
            if (sib != null) {
                news = learn(sib, beat, now);
                swap();
            } else if (visitors.size() < MAX_VISITORS) {
                visitors.put(from, now + VISIT * tempo.beat());
            }
            // why: the pledge comes before the answer, for a vote given after the answer must know of it however late
            // the table is seen
            final List<BeatEntry> answer = pledges.answer(from, beat, own, now);
            // why: who is what is all that an answer must tell, for positions come with this member's own beats; where
            // that is as it was, a few bytes say so
            final boolean same = beat.known() == BeatEntry.digest(answer);
            out.send(from, new Beat(true, beat.id(), beat.stamp(), 0, same, same ? List.of() : answer));
            return news;
        }
        final Sent sent = sib == null ? null : sib.sent.get(beat.id());
        // why: a reply that took longer than the detection time says nothing about now
        if (sent == null || now - sent.at > Math.max(tempo.down(), 2 * period)) {
            return false;
        }
        news = learn(sib, beat, now) || sib.missed >= 2 || own.stream().anyMatch(e -> e.role() == BeatEntry.MASTER);
        if (sent.at >= sib.answeredSentAt) {
            sib.answeredSentAt = sent.at;
            sib.answeredOwn = sent.own;
        }
        sib.missed = 0;
        if (beat.id() >= sib.lastId) {
            sib.lastAnswered = true;
        }
        swap();
        return news;
    }

    private static boolean learn(final Sibling sib, final Beat beat, final long now) {
        sib.heardAt = now;
        final long before = sib.known;
        if (!beat.same()) {
            sib.entries = byGroup(beat.entries());
            sib.known = BeatEntry.digest(beat.entries());
        }
        return sib.known != before;
    }

    private void swap() {
        final TreeMap<Integer, BeatTable.Row> rows = new TreeMap<>();
        siblings.forEach((node, sib) -> rows.put(
                node,
                new BeatTable.Row(
                        node, sib.missed < 2, sib.answeredSentAt, sib.answeredOwn, sib.heardAt, sib.entries)));
        table = new BeatTable(rows, period <= tempo.beat() ? tempo.down() : 5 * period / 2);
    }

    private static Map<Integer, BeatEntry> byGroup(final List<BeatEntry> entries) {
        final Map<Integer, BeatEntry> map = new HashMap<>();
        entries.forEach(e -> map.put(e.group(), e));
        return map;
    }
}
