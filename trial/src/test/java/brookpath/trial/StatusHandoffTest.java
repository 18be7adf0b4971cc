package brookpath.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.beat.StatusHandoff;
import brookpath.coordination.message.Msg.BeatEntry;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * All interleavings of the state thread, which publishes entries and then wishes for a beat, with the listener's look
 * at both.
 */
public final class StatusHandoffTest {
    private static final List<BeatEntry> OLD = List.of(entry(0));
    private static final List<BeatEntry> NEW = List.of(entry(1));

    private static BeatEntry entry(final long accepted) {
        return new BeatEntry(0, 1, 1, BeatEntry.MASTER, 0, 1, 1, 1, accepted, 0, 0);
    }

    /** The entries that the beats told in which a wish was spent, for one interleaving. */
    private static List<List<BeatEntry>> beats(final boolean wishFirst, final int publishedAt, final int wishedAt) {
        final StatusHandoff handoff = new StatusHandoff();
        handoff.publish(OLD);
        final List<List<BeatEntry>> told = new ArrayList<>();
        boolean wish = false;
        List<BeatEntry> read = List.of();
        for (int step = 0; step < 4; step++) {
            if (step == publishedAt) {
                handoff.publish(NEW);
            }
            if (step == wishedAt) {
                handoff.wish();
            }
            if (step % 2 == 0 == wishFirst) {
                wish = handoff.takeWish();
            } else {
                read = handoff.entries();
            }
            if (step % 2 == 1 && wish) {
                told.add(read);
            }
        }
        return told;
    }

    @Test
    public void aWishIsNeverSpentOnOlderEntries() {
        boolean seen = false;
        for (int published = 0; published < 3; published++) {
            for (int wished = published; wished < 3; wished++) {
                assertEquals(
                        beats(true, published, wished),
                        List.of(NEW),
                        "published at " + published + ", wished at " + wished);
                seen |= !beats(false, published, wished).equals(List.of(NEW));
            }
        }
        assertTrue(seen, "the order that lost the news, entries before the wish, is not told apart");
    }
}
