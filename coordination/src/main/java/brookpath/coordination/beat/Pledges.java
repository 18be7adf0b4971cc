package brookpath.coordination.beat;

import brookpath.coordination.message.Msg.Beat;
import brookpath.coordination.message.Msg.BeatEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What answering a master's beat binds this member to: for the detection time it helps nobody else into that
 * mastership. The listener thread pledges before the answer leaves, the state thread raises the epoch before it votes,
 * and each sees what the other did first; nothing else is shared by the two.
 */
public final class Pledges {
    private static final class Pledge {
        int master;
        long beat;
        long heardAt = Long.MIN_VALUE / 2;
        long raised;
    }

    private final Map<Integer, Pledge> groups = new HashMap<>();
    private final long down;

    public Pledges(final long down) {
        this.down = down;
    }

    private Pledge of(final int group) {
        return groups.computeIfAbsent(group, k -> new Pledge());
    }

    /**
     * The listener's part: pledges to the masters that the beat tells of, and gives back the entries that the answer
     * may carry.
     */
    synchronized List<BeatEntry> answer(final int from, final Beat beat, final List<BeatEntry> own, final long now) {
        for (final BeatEntry e : beat.entries()) {
            final Pledge p = of(e.group());
            // why: a mastership older than what was voted for since binds nobody, and the entry below says so
            if (e.role() == BeatEntry.MASTER && e.epoch() >= p.raised) {
                p.master = from;
                p.beat = beat.id();
                p.heardAt = now;
            } else if (p.master == from && beat.id() > p.beat) {
                // why: it says itself that it masters the group no more; an older beat that came late says nothing
                p.master = 0;
            }
        }
        final List<BeatEntry> list = new ArrayList<>(own.size());
        for (final BeatEntry e : own) {
            final long raised = of(e.group()).raised;
            list.add(e.epoch() >= raised ? e : e.raised(raised));
        }
        return list;
    }

    /** The voter's part, right before it votes or stands: false where this member is still bound to another master. */
    public synchronized boolean raise(
            final int group, final long epoch, final int candidate, final boolean manual, final long now) {
        final Pledge p = of(group);
        // why: in a manual switchover the old master has said itself that it acts no more
        if (!manual && p.master != 0 && p.master != candidate && now - p.heardAt <= down) {
            return false;
        }
        p.raised = Math.max(p.raised, epoch);
        return true;
    }
}
