package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * All machines lose power and start again: how long the control group goes without a leader.
 *
 * <p>The failure: after a loss of power of all machines, most clients that came back in the two seconds after it could
 * join nowhere in time. The order of events: large gateways and controllers ran again within half a second; a control
 * leader was elected 0.9 to 1.0 s after its members ran; until then the large gateways, the only ones with processor
 * time to spare, had no lease on the configuration and were closed to clients. The cause: a member that has just
 * started votes for nobody until the detection time is over, since its former incarnation may have promised its vote to
 * a leader. Where all other members have told it since its start that they lead nothing, there is no such leader, and
 * the wait is for nothing.
 *
 * <p>The evidence: in this test every member refuses to stand with "it has just started" for the whole detection time
 * although it has heard all others, and a leader acts right after that.
 */
public final class RestartOfEverythingTest extends ControlScene {
    private static final int SEEDS = 8;
    private static final long OUTAGE_MS = 600;
    private static final long STEP_MS = 5;

    @Test
    public void aControlLeaderActsBeforeTheDetectionTimeIsOver() {
        for (int seed = 100; seed < 100 + SEEDS; seed++) {
            begin(seed);
            loseAllPower();
            cluster.processes.values().forEach(cluster::restart);
            final long restartedAt = cluster.now();
            runUntilLed(cluster.timing.detectionTime());
            assertNotNull(
                    actingLeader(),
                    "seed " + seed + ": no leader within " + (cluster.now() - restartedAt) + " ms; "
                            + group(cluster.processes.get(1)).obstacle());
        }
    }

    /**
     * A leader whose lease still runs on the promise of a member that was started again: the other one, which has not
     * heard the leader for long, must not be elected with the help of that member.
     */
    @Test
    public void aMemberThatWasStartedAgainWaitsWhileALeaderMayStillActOnItsPromise() {
        for (int seed = 120; seed < 120 + SEEDS; seed++) {
            begin(seed);
            final SimulatedProcess leader = leader();
            final SimulatedProcess promising = others(leader).get(0);
            final SimulatedProcess candidate = others(leader).get(1);
            cutBetween(leader, candidate);
            cluster.run(cluster.now() + 3 * cluster.timing.detectionTime());
            assertTrue(group(leader).mayAct(leader.mono()), "seed " + seed + ": it acts on the other's promise");
            cluster.kill(promising, true);
            cluster.restart(promising);
            cutBetween(leader, promising);
            final long until = cluster.now() + 4 * cluster.timing.detectionTime();
            while (cluster.now() < until) {
                cluster.run(cluster.now() + STEP_MS);
                assertAtMostOneActs(seed);
            }
            assertTrue(
                    group(candidate).mayAct(candidate.mono())
                            || group(promising).mayAct(promising.mono()),
                    "seed " + seed + ": the majority elects in the end");
        }
    }

    /**
     * A member that lost its disk may have had a newer membership; the others wait as before, and elect all the same.
     */
    @Test
    public void aMemberWithoutItsDiskDoesNotShortenTheWait() {
        for (int seed = 140; seed < 140 + SEEDS; seed++) {
            begin(seed);
            final SimulatedProcess wiped = cluster.processes.get(cluster.controllers.get(seed % 3));
            loseAllPower();
            wiped.disk.wipe();
            cluster.processes.values().forEach(cluster::restart);
            runUntilLed(cluster.timing.detectionTime());
            assertEquals(actingLeader(), null, "seed " + seed);
            runUntilLed(3 * cluster.timing.detectionTime());
            assertNotNull(actingLeader(), "seed " + seed);
        }
    }

    private void runUntilLed(final long limitMs) {
        final long until = cluster.now() + limitMs;
        while (actingLeader() == null && cluster.now() < until) {
            cluster.run(cluster.now() + STEP_MS);
        }
    }

    private void assertAtMostOneActs(final int seed) {
        final long acting = cluster.controllers.stream()
                .map(cluster.processes::get)
                .filter(p -> p.alive && group(p).mayAct(p.mono()))
                .count();
        assertTrue(acting <= 1, "seed " + seed + ": two leaders act at " + cluster.now());
    }

    private void cutBetween(final SimulatedProcess one, final SimulatedProcess other) {
        cluster.net.cut(one.id, other.id);
        cluster.net.cut(other.id, one.id);
    }

    private void loseAllPower() {
        cluster.processes.values().forEach(process -> cluster.kill(process, true));
        cluster.run(cluster.now() + OUTAGE_MS);
    }
}
