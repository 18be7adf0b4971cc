package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.heartbeat.StatusHandoff;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * All interleavings of the state thread, which publishes entries and then requests a heartbeat, with the listener
 * thread, which takes the request and reads the entries.
 */
public final class StatusHandoffTest {
    private static final List<HeartbeatEntry> OLD = List.of(entry(0));
    private static final List<HeartbeatEntry> NEW = List.of(entry(1));

    private static HeartbeatEntry entry(final long committed) {
        return new HeartbeatEntry(0, 1, 1, HeartbeatEntry.LEADER, 0, 1, 1, 1, committed, 0, 0);
    }

    /** The entries carried by the heartbeats that served a request, for one interleaving. */
    private static List<List<HeartbeatEntry>> heartbeats(
            final boolean requestFirst, final int publishedAt, final int requestedAt) {
        final StatusHandoff handoff = new StatusHandoff();
        handoff.publish(OLD);
        final List<List<HeartbeatEntry>> sent = new ArrayList<>();
        boolean requested = false;
        List<HeartbeatEntry> read = List.of();
        for (int step = 0; step < 4; step++) {
            if (step == publishedAt) {
                handoff.publish(NEW);
            }
            if (step == requestedAt) {
                handoff.requestHeartbeat();
            }
            if (step % 2 == 0 == requestFirst) {
                requested = handoff.takeHeartbeatRequest();
            } else {
                read = handoff.entries();
            }
            if (step % 2 == 1 && requested) {
                sent.add(read);
            }
        }
        return sent;
    }

    @Test
    public void requestIsNeverServedWithOlderEntries() {
        boolean seen = false;
        for (int published = 0; published < 3; published++) {
            for (int requested = published; requested < 3; requested++) {
                assertEquals(
                        heartbeats(true, published, requested),
                        List.of(NEW),
                        "published at " + published + ", requested at " + requested);
                seen |= !heartbeats(false, published, requested).equals(List.of(NEW));
            }
        }
        assertTrue(
                seen,
                "the test does not detect the faulty order, in which the entries are read before the request is taken");
    }
}
