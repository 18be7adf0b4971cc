package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A control machine that is cut off or frozen reads nothing old, refuses nothing, and confirms nothing. */
public final class ControlReadsTest extends ControlScene {
    private static final long CUT_MS = 20_000;

    /** How the control leader loses its contact. */
    enum Loss {
        BOTH_WAYS,
        NOT_HEARD,
        HEARS_NOTHING,
        FROZEN
    }

    @DataProvider
    public Object[][] losses() {
        return new Object[][] {
            {Loss.BOTH_WAYS, 100}, {Loss.NOT_HEARD, 101}, {Loss.HEARS_NOTHING, 102}, {Loss.FROZEN, 103}
        };
    }

    private void lose(final SimulatedProcess p, final Loss loss) {
        if (loss == Loss.FROZEN) {
            cluster.freeze(p, CUT_MS);
        }
        if (loss == Loss.BOTH_WAYS || loss == Loss.NOT_HEARD) {
            cutFrom(p);
        }
        if (loss == Loss.BOTH_WAYS || loss == Loss.HEARS_NOTHING) {
            cutTo(p);
        }
    }

    @Test(dataProvider = "losses")
    public void aLeaderWithoutContactServesNothingOldForTwentySeconds(final Loss loss, final int seed) {
        begin(seed);
        final SimulatedProcess lost = leader();
        final long healedAt = cluster.now() + CUT_MS;
        cluster.at(healedAt, cluster.net::heal);
        lose(lost, loss);
        final List<Asked> askedOfLost = new ArrayList<>();
        final List<Asked> reads = new ArrayList<>();
        final List<Long> confirmedBefore = new ArrayList<>();
        long newest = 1;
        long confirmed = 1;
        Asked change = null;
        for (int i = 0; cluster.now() < healedAt + 5_000; i++) {
            for (final int id : cluster.controllers) {
                reads.add(askConfiguration(cluster.processes.get(id)));
                confirmedBefore.add(confirmed);
            }
            askedOfLost.add(askConfiguration(lost));
            askedOfLost.add(askChange(lost, document(newest, "lost-" + i)));
            askedOfLost.add(askChange(lost, document(0, "stale-" + i)));
            askedOfLost.add(askRetireNamed(lost, "nobody"));
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
        for (final Asked asked : askedOfLost) {
            assertTrue(asked.unclear() || asked.answeredAt > healedAt, loss + ": " + asked);
        }
        assertTrue(confirmed > 5, confirmed + " versions confirmed meanwhile");
        assertNothingOld(reads, confirmedBefore);
    }

    private static void assertNothingOld(final List<Asked> reads, final List<Long> confirmedBefore) {
        int served = 0;
        for (int i = 0; i < reads.size(); i++) {
            final Asked read = reads.get(i);
            served += read.status() == 200 ? 1 : 0;
            assertTrue(
                    read.unclear() || version(read.response) >= confirmedBefore.get(i),
                    read + ", confirmed was " + confirmedBefore.get(i));
        }
        assertTrue(served > 100, served + " reads served");
    }

    /** The lease of a leader that has just been cut off still runs, but no answer may rest on it. */
    @Test
    public void aReadNeedsContactWithAMajorityThatBeganAfterIt() {
        begin(110);
        final SimulatedProcess leader = leader();
        cutFrom(leader);
        cutTo(leader);
        final Asked read = askConfiguration(leader);
        final Asked retired = ask(leader, "retired", "machine-11".getBytes(UTF_8));
        final Asked unknown = askRetireNamed(leader, "nobody");
        final Asked outcome = ask(leader, "outcome", "never".getBytes(UTF_8));
        cluster.run(cluster.now() + 300);
        for (final Asked asked : List.of(read, retired, unknown, outcome)) {
            assertNull(asked.response, "answered without a majority: " + asked);
        }
        cluster.run(cluster.now() + 4_000);
        for (final Asked asked : List.of(read, retired, unknown, outcome)) {
            assertTrue(asked.status() >= 500, asked.toString());
            assertTrue(asked.response.retryAfterMs() > 0, asked.toString());
        }
    }

    @Test
    public void aReadIsAnsweredWithinOneRoundTripAndNotWithTheNextHeartbeat() {
        begin(111);
        final SimulatedProcess leader = leader();
        long longest = 0;
        for (int i = 0; i < 50; i++) {
            final Asked read = answered(askConfiguration(leader));
            assertEquals(read.status(), 200, read.toString());
            longest = Math.max(longest, read.answeredAt - read.at);
        }
        assertTrue(longest < cluster.timing.heartbeat() / 2, "a read took " + longest + " ms");
    }

    /**
     * Thousands of reads may not push their own heartbeats out of what is remembered, nor cost the leader its lease.
     */
    @Test
    public void manyReadsAtOnceAreAllAnswered() {
        begin(112);
        final SimulatedProcess leader = leader();
        cluster.net.extraDelay = 20;
        final long term = group(leader).term();
        final List<Asked> reads = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            reads.add(askConfiguration(leader));
            cluster.run(cluster.now() + 1);
        }
        cluster.run(cluster.now() + 2_000);
        reads.forEach(r -> assertEquals(r.status(), 200, r.toString()));
        assertEquals(group(leader).term(), term, "the master lost its mastership");
    }

    /** A carried answer that was held up on its way says how things were, not how they are. */
    @Test
    public void anAnswerThatWasHeldUpOnTheWireIsDropped() {
        begin(113);
        final SimulatedProcess leader = leader();
        final SimulatedProcess carrier = others(leader).get(0);
        cluster.net.cut(leader.id, carrier.id);
        final Asked read = askConfiguration(carrier);
        cluster.run(cluster.now() + 10);
        assertEquals(answered(askChange(leader, document(1, "newer"))).status(), 200);
        final long confirmedAt = cluster.now();
        cluster.run(read.at + 2_100);
        cluster.net.heal();
        cluster.run(read.at + 2_900);
        assertTrue(
                read.status() >= 500 || version(read.response) == 2,
                read + ", though version 2 was confirmed at " + confirmedAt);
    }

    @Test
    public void aCarrierThatWasFrozenGivesNoAnswerFromBeforeItsFreeze() {
        begin(114);
        final SimulatedProcess leader = leader();
        final SimulatedProcess carrier = others(leader).get(0);
        final Asked read = askConfiguration(carrier);
        cluster.run(cluster.now() + 1);
        cluster.freeze(carrier, 2_500);
        cluster.run(cluster.now() + 10);
        assertEquals(answered(askChange(leader, document(1, "newer"))).status(), 200);
        final long confirmedAt = cluster.now();
        cluster.run(read.at + 2_900);
        assertTrue(read.status() >= 500, read + ", though version 2 was confirmed at " + confirmedAt);
    }

    @Test
    public void anOrderWhoseSessionBrokeHasAnUnknownEnd() {
        begin(115);
        final SimulatedProcess leader = leader();
        final SimulatedProcess carrier = others(leader).get(0);
        cluster.net.cut(leader.id, carrier.id);
        final Asked order = askRetire(carrier, 11);
        final Asked read = askConfiguration(carrier);
        cluster.run(cluster.now() + 20);
        cluster.kill(leader, true);
        answered(order);
        answered(read);
        assertEquals(order.status(), 504, order.toString());
        assertTrue(order.response.json().contains("unsettled"), order.toString());
        assertEquals(read.status(), 503, read.toString());
    }

    /** Its callers go on to another node all the sooner. */
    @Test
    public void aMachineThatIsCutOffSaysSoAtOnce() {
        begin(116);
        final SimulatedProcess leader = leader();
        final SimulatedProcess follower = others(leader).get(0);
        for (final SimulatedProcess lost : List.of(follower, leader)) {
            cutFrom(lost);
            cutTo(lost);
            cluster.run(cluster.now() + 2 * cluster.timing.detectionTime() + cluster.timing.heartbeat());
            for (final Asked asked : List.of(
                    askConfiguration(lost), askChange(lost, document(1, "cut-" + lost.id)), askRetire(lost, 11))) {
                cluster.run(cluster.now() + 20);
                assertEquals(asked.status(), 503, asked.toString());
                assertTrue(asked.response.retryAfterMs() > 0, asked.toString());
            }
            cluster.net.heal();
            cluster.run(cluster.now() + 4_000);
        }
    }
}
