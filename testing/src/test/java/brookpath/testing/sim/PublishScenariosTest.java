package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.message.Response;
import org.testng.annotations.Test;

/** A publish is acknowledged once it is committed, at one position, however often it is retried. */
public final class PublishScenariosTest extends ClusterScenario {
    @Test
    public void retriedPublishKeepsItsPositionAcrossALeaderChange() {
        begin(3);
        final Response first = publish(31, "key-members", "permits/a", "ana", 5);
        assertEquals(first.status(), 200);
        final int g = groupOf("permits/a");
        final SimulatedProcess leader = actingLeader(g);
        cluster.kill(leader, true);
        assertTrue(millisUntilOtherLeader(g, leader, 4_000) < cluster.timing.deliverMs());
        cluster.run(cluster.now() + 1_000);
        assertEquals(publish(32, "key-members", "permits/a", "ana", 5).json(), first.json());
        final Response low = publish(33, "key-members", "permits/a", "ana", 4);
        assertEquals(low.status(), 409, low.toString());
    }

    @Test
    public void publishWithoutAQuorumIsNeverReportedCommittedAndFailsFast() {
        begin(4);
        final int g = groupOf("permits/a");
        assertEquals(publish(31, "key-members", "permits/a", "ana", 1).status(), 200);
        final SimulatedProcess leader = actingLeader(g);
        group(leader, g).members().forEach(m -> {
            if (m.node() != leader.id) {
                cluster.kill(cluster.processes.get(m.node()), true);
            }
        });
        final Response early = publish(31, "key-members", "permits/a", "ana", 2);
        assertTrue(early.status() == 504 || early.status() == 503, early.toString());
        cluster.run(cluster.now() + 2_000);
        final long requestedAt = cluster.now();
        final Response late = publish(31, "key-members", "permits/a", "ana", 2);
        assertEquals(late.status(), 503, late.toString());
        assertTrue(
                late.retryAfterMs() > 0 && cluster.now() - requestedAt <= 50,
                "responded after " + (cluster.now() - requestedAt) + " ms");
    }
}
