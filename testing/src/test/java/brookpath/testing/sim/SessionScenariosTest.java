package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import java.util.List;
import org.testng.annotations.Test;

/** Callers' sessions on a draining gateway. */
public final class SessionScenariosTest extends ClusterScenario {
    @Test
    public void drainingGatewayClosesItsSessionsGraduallyAndTheyMissNothing() {
        begin(40);
        for (int i = 0; i < 30; i++) {
            cluster.callers.subscriber("more-" + i, "key-members", List.of("permits/t" + i % 9));
        }
        startCallers();
        final SimulatedProcess gateway = cluster.processes.get(31);
        cluster.callers.ask(gateway, id -> new NodeRequest.Drain(id, true), r -> assertEquals(r.status(), 200));
        final int before = cluster.counted("sessions closed");
        cluster.run(cluster.now() + 500);
        final int soon = cluster.counted("sessions closed") - before;
        cluster.run(cluster.now() + 8_000);
        final int all = cluster.counted("sessions closed") - before;
        assertTrue(soon < all && all >= 2, soon + " of " + all + " sessions were closed at once");
        final Response[] got = new Response[1];
        cluster.callers.ask(gateway, NodeRequest.ReadinessProbe::new, r -> got[0] = r);
        cluster.run(cluster.now() + 100);
        assertEquals(got[0].status(), 503);
        cluster.callers.ask(
                gateway,
                id -> new NodeRequest.Subscribe(id, "key-members", List.of("permits/t0"), null),
                r -> got[0] = r);
        cluster.run(cluster.now() + 500);
        assertTrue(
                got[0].status() == 503 && got[0].json().contains("draining"),
                "a draining gateway accepts a session: " + got[0]);
        assertNoViolationsAfterQuiescence();
    }
}
