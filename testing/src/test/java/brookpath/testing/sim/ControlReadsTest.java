package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A controller that is cut off or frozen serves no stale reads, and neither refuses nor confirms orders. */
public final class ControlReadsTest extends ControlScene {
    private static final long CUT_MS = 20_000;

    /** How the control leader loses contact with the other controllers. */
    enum ContactLoss {
        BOTH_DIRECTIONS,
        OUTBOUND,
        INBOUND,
        FROZEN
    }

    @DataProvider
    public Object[][] contactLosses() {
        return new Object[][] {
            {ContactLoss.BOTH_DIRECTIONS, 100},
            {ContactLoss.OUTBOUND, 101},
            {ContactLoss.INBOUND, 102},
            {ContactLoss.FROZEN, 103}
        };
    }

    private void loseContact(final SimulatedProcess p, final ContactLoss loss) {
        if (loss == ContactLoss.FROZEN) {
            cluster.freeze(p, CUT_MS);
        }
        if (loss == ContactLoss.BOTH_DIRECTIONS || loss == ContactLoss.OUTBOUND) {
            cutOutbound(p);
        }
        if (loss == ContactLoss.BOTH_DIRECTIONS || loss == ContactLoss.INBOUND) {
            cutInbound(p);
        }
    }

    @Test(dataProvider = "contactLosses")
    public void leaderWithoutContactServesNoStaleReads(final ContactLoss loss, final int seed) {
        begin(seed);
        final SimulatedProcess lost = leader();
        final long healedAt = cluster.now() + CUT_MS;
        cluster.at(healedAt, cluster.net::heal);
        loseContact(lost, loss);
        final List<PendingCall> callsToLost = new ArrayList<>();
        final List<PendingCall> reads = new ArrayList<>();
        final List<Long> confirmedAtSending = new ArrayList<>();
        long newest = 1;
        long confirmed = 1;
        PendingCall change = null;
        for (int i = 0; cluster.now() < healedAt + 5_000; i++) {
            for (final int id : cluster.controllers) {
                reads.add(askConfiguration(cluster.processes.get(id)));
                confirmedAtSending.add(confirmed);
            }
            callsToLost.add(askConfiguration(lost));
            callsToLost.add(askChange(lost, document(newest, "lost-" + i)));
            callsToLost.add(askChange(lost, document(0, "stale-" + i)));
            callsToLost.add(askRetireNamed(lost, "nobody"));
            if (change == null) {
                change = askChange(others(lost).get(i % 2), document(newest, "next-" + i));
            }
            cluster.run(cluster.now() + 100);
            if (change.status() == 200) {
                confirmed = version(change.response);
            }
            newest = Math.max(newest, change.response == null ? 0 : version(change.response));
            change = change.response == null ? change : null;
        }
        cluster.run(cluster.now() + 4_000);
        for (final PendingCall call : callsToLost) {
            assertTrue(call.isUnsettled() || call.respondedAt > healedAt, loss + ": " + call);
        }
        assertTrue(confirmed > 5, confirmed + " versions confirmed in the meantime");
        assertNoStaleReads(reads, confirmedAtSending);
    }

    private static void assertNoStaleReads(final List<PendingCall> reads, final List<Long> confirmedAtSending) {
        int served = 0;
        for (int i = 0; i < reads.size(); i++) {
            final PendingCall read = reads.get(i);
            served += read.status() == 200 ? 1 : 0;
            assertTrue(
                    read.isUnsettled() || version(read.response) >= confirmedAtSending.get(i),
                    read + ", confirmed was " + confirmedAtSending.get(i));
        }
        assertTrue(served > 100, served + " reads served");
    }

    /** A leader that has just been cut off still has its lease, but may not respond on its strength alone. */
    @Test
    public void readNeedsAMajorityConfirmedAfterItArrived() {
        begin(110);
        final SimulatedProcess leader = leader();
        cutOutbound(leader);
        cutInbound(leader);
        final PendingCall read = askConfiguration(leader);
        final PendingCall retired = ask(leader, "retired", "machine-11".getBytes(UTF_8));
        final PendingCall unknown = askRetireNamed(leader, "nobody");
        final PendingCall outcome = ask(leader, "outcome", "never".getBytes(UTF_8));
        cluster.run(cluster.now() + 300);
        for (final PendingCall call : List.of(read, retired, unknown, outcome)) {
            assertNull(call.response, "response without a majority: " + call);
        }
        cluster.run(cluster.now() + 4_000);
        for (final PendingCall call : List.of(read, retired, unknown, outcome)) {
            assertTrue(call.status() >= 500, call.toString());
            assertTrue(call.response.retryAfterMs() > 0, call.toString());
        }
    }

    @Test
    public void readDoesNotWaitForTheNextPeriodicHeartbeat() {
        begin(111);
        final SimulatedProcess leader = leader();
        long longest = 0;
        for (int i = 0; i < 50; i++) {
            final PendingCall read = awaitResponse(askConfiguration(leader));
            assertEquals(read.status(), 200, read.toString());
            longest = Math.max(longest, read.respondedAt - read.sentAt);
        }
        assertTrue(longest < cluster.timing.heartbeat() / 2, "a read took " + longest + " ms");
    }

    /**
     * Each read may need a heartbeat round, and only a bounded number of heartbeats is remembered: many reads must
     * neither evict the heartbeats that they wait for nor cost the leader its lease.
     */
    @Test
    public void manyConcurrentReadsAreAllAnswered() {
        begin(112);
        final SimulatedProcess leader = leader();
        cluster.net.extraDelay = 20;
        final long term = group(leader).term();
        final List<PendingCall> reads = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            reads.add(askConfiguration(leader));
            cluster.run(cluster.now() + 1);
        }
        cluster.run(cluster.now() + 2_000);
        reads.forEach(r -> assertEquals(r.status(), 200, r.toString()));
        assertEquals(group(leader).term(), term, "the leader lost its leadership");
    }

    /** A forwarded response that was delayed in the network may be outdated. */
    @Test
    public void responseDelayedInTheNetworkIsDropped() {
        begin(113);
        final SimulatedProcess leader = leader();
        final SimulatedProcess forwarder = others(leader).get(0);
        cluster.net.cut(leader.id, forwarder.id);
        final PendingCall read = askConfiguration(forwarder);
        cluster.run(cluster.now() + 10);
        assertEquals(awaitResponse(askChange(leader, document(1, "newer"))).status(), 200);
        final long confirmedAt = cluster.now();
        cluster.run(read.sentAt + 2_100);
        cluster.net.heal();
        cluster.run(read.sentAt + 2_900);
        assertTrue(
                read.status() >= 500 || version(read.response) == 2,
                read + ", though version 2 was confirmed at " + confirmedAt);
    }

    @Test
    public void forwarderThatWasFrozenServesNoResponseFromBefore() {
        begin(114);
        final SimulatedProcess leader = leader();
        final SimulatedProcess forwarder = others(leader).get(0);
        final PendingCall read = askConfiguration(forwarder);
        cluster.run(cluster.now() + 1);
        cluster.freeze(forwarder, 2_500);
        cluster.run(cluster.now() + 10);
        assertEquals(awaitResponse(askChange(leader, document(1, "newer"))).status(), 200);
        final long confirmedAt = cluster.now();
        cluster.run(read.sentAt + 2_900);
        assertTrue(read.status() >= 500, read + ", though version 2 was confirmed at " + confirmedAt);
    }

    @Test
    public void orderWhoseConnectionBrokeIsUnsettled() {
        begin(115);
        final SimulatedProcess leader = leader();
        final SimulatedProcess forwarder = others(leader).get(0);
        cluster.net.cut(leader.id, forwarder.id);
        final PendingCall order = askRetire(forwarder, 11);
        final PendingCall read = askConfiguration(forwarder);
        cluster.run(cluster.now() + 20);
        cluster.kill(leader, true);
        awaitResponse(order);
        awaitResponse(read);
        assertEquals(order.status(), 504, order.toString());
        assertTrue(order.response.json().contains("unsettled"), order.toString());
        assertEquals(read.status(), 503, read.toString());
    }

    /** Its callers can then turn to another node sooner. */
    @Test
    public void controllerThatIsCutOffRefusesAtOnce() {
        begin(116);
        final SimulatedProcess leader = leader();
        final SimulatedProcess follower = others(leader).get(0);
        for (final SimulatedProcess lost : List.of(follower, leader)) {
            cutOutbound(lost);
            cutInbound(lost);
            cluster.run(cluster.now() + 2 * cluster.timing.detectionTime() + cluster.timing.heartbeat());
            for (final PendingCall call : List.of(
                    askConfiguration(lost), askChange(lost, document(1, "cut-" + lost.id)), askRetire(lost, 11))) {
                cluster.run(cluster.now() + 20);
                assertEquals(call.status(), 503, call.toString());
                assertTrue(call.response.retryAfterMs() > 0, call.toString());
            }
            cluster.net.heal();
            cluster.run(cluster.now() + 4_000);
        }
    }
}
