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

    private record Sent(long at, Map<Integer, BeatEntry> own) {
    }

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

    private final Tempo tempo;
    private final Pledges pledges;
    private final TreeMap<Integer, Sibling> siblings = new TreeMap<>();
    private List<BeatEntry> own = List.of();
    private Map<Integer, BeatEntry> ownById = Map.of();
    private BeatTable table = BeatTable.EMPTY;
    private long nextId;
    private long nextRound = Long.MIN_VALUE;

    public BeatMachine(final Tempo tempo, final Pledges pledges) {
        this.tempo = tempo;
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

    public void tick(final long now, final Actions out) {
        if (now >= nextRound) {
            round(now, true, out);
        }
    }

    /** An extra round besides the period's; it counts no misses. */
    public void beatNow(final long now, final Actions out) {
        round(now, false, out);
    }

    private void round(final long now, final boolean periodic, final Actions out) {
        if (periodic) {
            nextRound = now + tempo.beat();
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
        swap();
    }

    public void onBeat(final int from, final Beat beat, final long now, final Actions out) {
        final Sibling sib = siblings.get(from);
        if (!beat.reply()) {
            if (sib != null) {
                learn(sib, beat, now);
                swap();
            }
            // why: the pledge comes before the answer, for a vote given after the answer must know of it however late the table is seen
            final List<BeatEntry> answer = pledges.answer(from, beat, own, now);
            // why: one that holds no copy asks only who is what; where that is as it was, a few bytes say so
            final boolean same = beat.entries().isEmpty() && beat.known() == BeatEntry.digest(answer);
            out.send(from, new Beat(true, beat.id(), beat.stamp(), 0, same, same ? List.of() : answer));
            return;
        }
        final Sent sent = sib == null ? null : sib.sent.get(beat.id());
        // why: a reply that took longer than the detection time says nothing about now
        if (sent == null || now - sent.at > tempo.down()) {
            return;
        }
        learn(sib, beat, now);
        if (sent.at >= sib.answeredSentAt) {
            sib.answeredSentAt = sent.at;
            sib.answeredOwn = sent.own;
        }
        sib.missed = 0;
        if (beat.id() >= sib.lastId) {
            sib.lastAnswered = true;
        }
        swap();
    }

    private static void learn(final Sibling sib, final Beat beat, final long now) {
        sib.heardAt = now;
        if (!beat.same()) {
            sib.entries = byGroup(beat.entries());
            sib.known = BeatEntry.digest(beat.entries());
        }
    }

    private void swap() {
        final TreeMap<Integer, BeatTable.Row> rows = new TreeMap<>();
        siblings.forEach((node, sib) -> rows.put(node,
                new BeatTable.Row(node, sib.missed < 2, sib.answeredSentAt, sib.answeredOwn, sib.heardAt, sib.entries)));
        table = new BeatTable(rows, tempo.down());
    }

    private static Map<Integer, BeatEntry> byGroup(final List<BeatEntry> entries) {
        final Map<Integer, BeatEntry> map = new HashMap<>();
        entries.forEach(e -> map.put(e.group(), e));
        return map;
    }
}
