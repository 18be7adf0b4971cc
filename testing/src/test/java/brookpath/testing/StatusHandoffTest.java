package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.heartbeat.StatusHandoff;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * All interleavings of the state thread, which publishes entries and then wishes for a heartbeat, with the listener's
 * look at both.
 */
public final class StatusHandoffTest {
    private static final List<HeartbeatEntry> OLD = List.of(entry(0));
    private static final List<HeartbeatEntry> NEW = List.of(entry(1));

    private static HeartbeatEntry entry(final long committed) {
        return new HeartbeatEntry(0, 1, 1, HeartbeatEntry.LEADER, 0, 1, 1, 1, committed, 0, 0);
    }

    /** The entries that the heartbeats told in which a wish was spent, for one interleaving. */
    private static List<List<HeartbeatEntry>> heartbeats(
            final boolean wishFirst, final int publishedAt, final int wishedAt) {
        final StatusHandoff handoff = new StatusHandoff();
        handoff.publish(OLD);
        final List<List<HeartbeatEntry>> told = new ArrayList<>();
        boolean wish = false;
        List<HeartbeatEntry> read = List.of();
        for (int step = 0; step < 4; step++) {
            if (step == publishedAt) {
                handoff.publish(NEW);
            }
            if (step == wishedAt) {
                handoff.requestHeartbeat();
            }
            if (step % 2 == 0 == wishFirst) {
                wish = handoff.takeHeartbeatRequest();
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
                        heartbeats(true, published, wished),
                        List.of(NEW),
                        "published at " + published + ", wished at " + wished);
                seen |= !heartbeats(false, published, wished).equals(List.of(NEW));
            }
        }
        assertTrue(seen, "the order that lost the news, entries before the wish, is not told apart");
    }
}
