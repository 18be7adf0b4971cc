package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.gateway.StartupRedirect;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.testng.annotations.Test;

/**
 * Where a gateway on a small machine sends the callers that come before its first lease, and that it does so then only.
 * The failure behind it is told in GatewayBeforeItsLeaseTest.
 */
public final class StartupRedirectTest {
    private static final TimingBounds TIMING = TimingBounds.DEFAULT;
    private static final String SELF = "10.0.0.9:80";
    private static final List<String> SEED_GATEWAYS = List.of("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80");
    private static final double SMALL = 0.06;
    private static final double LARGE = 0.66;
    private static final double UNKNOWN = 0;
    private static final int GATEWAY = 31;
    private static final int CALLERS = 30;

    private SimulatedCluster cluster;

    @Test
    public void onlyAGatewayThatStartsTooSlowlyRedirects() {
        assertTrue(StartupRedirect.of(SMALL, SEED_GATEWAYS, SELF, TIMING).isActive());
        assertFalse(StartupRedirect.of(LARGE, SEED_GATEWAYS, SELF, TIMING).isActive());
        assertFalse(StartupRedirect.of(UNKNOWN, SEED_GATEWAYS, SELF, TIMING).isActive());
        assertFalse(StartupRedirect.of(SMALL, List.of(), SELF, TIMING).isActive());
    }

    /** Those that are named redirect nobody, so that no caller is sent around. */
    @Test
    public void aGatewayBesideAControllerRedirectsNobody() {
        SEED_GATEWAYS.forEach(seed -> assertFalse(
                StartupRedirect.of(SMALL, SEED_GATEWAYS, seed, TIMING).isActive(), seed));
    }

    @Test
    public void callersAreSpreadEvenlyBeforeTheFirstLease() {
        beginWithoutControlPlane();
        for (int caller = 0; caller < CALLERS; caller++) {
            final Response refusal = open();
            assertEquals(refusal.status(), 503);
            assertEquals(refusal.code(), GatewayNode.MOVED);
        }
        for (final String seed : SEED_GATEWAYS) {
            final long moved =
                    moves().stream().filter(move -> move.address().equals(seed)).count();
            assertEquals(moved, CALLERS / SEED_GATEWAYS.size(), seed);
        }
    }

    @Test
    public void callersAreServedFromTheFirstLeaseOn() {
        beginWithoutControlPlane();
        cluster.controllers.forEach(id -> cluster.restart(cluster.processes.get(id)));
        cluster.run(cluster.now() + 4 * TIMING.deliverMs());
        assertEquals(open().status(), 200);
        assertEquals(moves(), List.of());
    }

    /** While the whole control plane is away the others cannot serve either. */
    @Test
    public void aLeaseThatIsLostLaterRedirectsNobody() {
        beginWithoutControlPlane();
        cluster.controllers.forEach(id -> cluster.restart(cluster.processes.get(id)));
        cluster.run(cluster.now() + 4 * TIMING.deliverMs());
        killControllers();
        cluster.run(cluster.now() + 2 * TIMING.configurationLease());
        assertEquals(open().status(), 503);
        assertEquals(moves(), List.of());
    }

    /** A fleet that served, and whose gateway starts again on a small machine while no controller runs. */
    private void beginWithoutControlPlane() {
        cluster = ServingCluster.start(61);
        killControllers();
        final SimulatedProcess gateway = cluster.processes.get(GATEWAY);
        cluster.kill(gateway, true);
        gateway.maker = (process, entries) -> new GatewayNode(
                process.info(),
                List.copyOf(cluster.controllers),
                cluster.timing,
                StartupRedirect.of(SMALL, SEED_GATEWAYS, SELF, cluster.timing),
                process.incarnation << 32);
        cluster.restart(gateway);
        cluster.run(cluster.now() + TIMING.heartbeat());
    }

    private void killControllers() {
        cluster.controllers.forEach(id -> cluster.kill(cluster.processes.get(id), true));
    }

    private Response open() {
        final LongFunction<NodeRequest> request = id -> new NodeRequest.Open(id, "key-members");
        final List<Response> responses = new ArrayList<>();
        cluster.callers.ask(cluster.processes.get(GATEWAY), request, responses::add);
        final long deadline = cluster.now() + 2 * TIMING.deliverMs();
        while (responses.isEmpty() && cluster.now() < deadline) {
            cluster.run(cluster.now() + 10);
        }
        assertEquals(responses.size(), 1, "no response");
        return responses.get(0);
    }

    private List<Action.MoveSession> moves() {
        final List<Action.MoveSession> moves = new ArrayList<>();
        cluster.callers.sessionActions.forEach(action -> {
            if (action instanceof Action.MoveSession move) {
                moves.add(move);
            }
        });
        return moves;
    }
}
