package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.message.PeerMessage.Heartbeat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The extra heartbeat that is sent to a peer when its session begins. */
public final class HeartbeatMonitorTest {
    private static final TimingBounds TIMING = TimingBounds.DEFAULT;
    private static final int PEERS = 14;
    private static final int UNKNOWN_NODE = 99;
    private static final long NOW = 1_000;

    private Actions out;
    private HeartbeatMonitor monitor;

    @BeforeMethod
    public void begin() {
        out = new Actions();
        monitor = new HeartbeatMonitor(TIMING, TIMING.heartbeat(), new HeartbeatPromises(TIMING.detectionTime()));
    }

    /**
     * After a start, the sessions with all peers begin one after another. A full round for each of them would be as
     * many heartbeats as there are pairs of processes, just when clients reconnect.
     */
    @Test
    public void sendsOneHeartbeatPerNewSession() {
        monitor.setPeers(peers());
        for (final int node : peers()) {
            monitor.heartbeatTo(node, NOW, out);
            assertEquals(receivers(), List.of(node));
        }
        monitor.heartbeatTo(UNKNOWN_NODE, NOW, out);
        assertEquals(receivers(), List.of());
    }

    @Test
    public void replyToExtraHeartbeatMarksPeerAsUp() {
        monitor.setPeers(Set.of(1));
        assertFalse(monitor.table().up(1));
        monitor.heartbeatTo(1, NOW, out);
        final Heartbeat sent = sent(out.drain().get(0));
        final Heartbeat reply = new Heartbeat(true, sent.id(), sent.stamp(), 0, false, List.of());
        assertTrue(monitor.onHeartbeat(1, reply, NOW + 1, out));
        assertTrue(monitor.table().up(1));
        assertEquals(monitor.table().row(1).answeredSentAt(), NOW);
    }

    /** Only periodic rounds count missed replies. */
    @Test
    public void unansweredExtraHeartbeatIsNotCountedAsMissed() {
        monitor.setPeers(Set.of(1));
        monitor.tick(NOW, out);
        final Heartbeat sent = sent(out.drain().get(0));
        monitor.onHeartbeat(1, new Heartbeat(true, sent.id(), sent.stamp(), 0, false, List.of()), NOW, out);
        for (int i = 1; i < 5; i++) {
            monitor.heartbeatTo(1, NOW + i, out);
        }
        assertTrue(monitor.table().up(1));
        assertEquals(monitor.nextRound(), NOW + TIMING.heartbeat(), "an extra heartbeat must not restart the period");
    }

    private static Set<Integer> peers() {
        final Set<Integer> peers = new TreeSet<>();
        IntStream.rangeClosed(1, PEERS).forEach(peers::add);
        return peers;
    }

    private List<Integer> receivers() {
        return out.drain().stream().map(action -> ((Action.Send) action).node()).toList();
    }

    private static Heartbeat sent(final Action action) {
        return (Heartbeat) ((Action.Send) action).message();
    }
}
