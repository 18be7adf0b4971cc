package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.gateway.SessionOverflow;
import brookpath.coordination.node.gateway.StartupRedirect;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.testng.annotations.Test;

/**
 * Which gateways redirect callers, and where to: small gateways before their first lease, and the seed gateways that
 * they redirect to, once these have more sessions to set up than they can in time. GatewayBeforeItsLeaseTest describes
 * the failure that this prevents.
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
    /** How many sessions a large gateway sets up while a caller waits: 400 ms of 0.66 processors, 5 ms each. */
    private static final int LIMIT = 52;

    private SimulatedCluster cluster;

    @Test
    public void onlyAGatewayThatStartsTooSlowlyRedirectsCallers() {
        assertTrue(StartupRedirect.of(SMALL, SEED_GATEWAYS, SELF, TIMING).isActive());
        assertFalse(StartupRedirect.of(LARGE, SEED_GATEWAYS, SELF, TIMING).isActive());
        assertFalse(StartupRedirect.of(UNKNOWN, SEED_GATEWAYS, SELF, TIMING).isActive());
        assertFalse(StartupRedirect.of(SMALL, List.of(), SELF, TIMING).isActive());
    }

    /** Seed gateways redirect no callers before their first lease, so there is no redirect loop. */
    @Test
    public void seedGatewayRedirectsNoCallersBeforeItsLease() {
        SEED_GATEWAYS.forEach(seed -> assertFalse(
                StartupRedirect.of(SMALL, SEED_GATEWAYS, seed, TIMING).isActive(), seed));
    }

    @Test
    public void callersAreSpreadEvenly() {
        final StartupRedirect redirect = StartupRedirect.of(SMALL, SEED_GATEWAYS, SELF, TIMING);
        final List<String> addresses = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            addresses.add(redirect.nextAddress());
        }
        SEED_GATEWAYS.forEach(seed ->
                assertEquals(addresses.stream().filter(seed::equals).count(), CALLERS / SEED_GATEWAYS.size(), seed));
    }

    /** A burst beyond the limit is shared with the other gateways; no more sessions are redirected than accepted. */
    @Test
    public void seedGatewayRedirectsSessionsThatItCannotSetUpInTime() {
        begin(true);
        // the first session beyond the limit only has the addresses requested, and is still accepted
        openAll(LIMIT + 1);
        cluster.run(cluster.now() + TIMING.heartbeat());
        assertEquals(moves(), List.of());
        cluster.run(cluster.now() + TIMING.callerWaitLimit());
        final List<Response> responses = openAll(4 * LIMIT);
        cluster.run(cluster.now() + TIMING.heartbeat());
        final long accepted =
                responses.stream().filter(response -> response.status() == 200).count();
        assertEquals(accepted, 2 * LIMIT);
        assertEquals(moves().size(), 2 * LIMIT);
        assertTrue(moves().stream().noneMatch(move -> move.address().equals("sim:" + GATEWAY)), "redirected to itself");
    }

    @Test
    public void sessionsThatCanBeSetUpInTimeAreAccepted() {
        begin(true);
        for (int burst = 0; burst < 3; burst++) {
            openAll(LIMIT);
            cluster.run(cluster.now() + TIMING.callerWaitLimit());
        }
        assertEquals(moves(), List.of());
    }

    /** Callers may have been redirected to it already, so it serves them itself. */
    @Test
    public void otherGatewayRedirectsNoSessions() {
        begin(false);
        for (int burst = 0; burst < 2; burst++) {
            openAll(4 * LIMIT);
            cluster.run(cluster.now() + TIMING.callerWaitLimit());
        }
        assertEquals(moves(), List.of());
    }

    private void begin(final boolean redirectTarget) {
        cluster = ServingCluster.start(61);
        final SimulatedProcess gateway = cluster.processes.get(GATEWAY);
        cluster.kill(gateway, true);
        gateway.nodeFactory = (process, entries) -> new GatewayNode(
                process.info(),
                List.copyOf(cluster.controllers),
                cluster.timing,
                SessionOverflow.of(LARGE, redirectTarget, cluster.timing),
                process.incarnation << 32);
        cluster.restart(gateway);
        cluster.run(cluster.now() + 4 * TIMING.deliverMs());
    }

    /** Opens sessions all at once; the responses are added when the cluster runs next. */
    private List<Response> openAll(final int sessions) {
        final List<Response> responses = new ArrayList<>();
        final LongFunction<NodeRequest> request = id -> new NodeRequest.Open(id, "key-members");
        for (int session = 0; session < sessions; session++) {
            cluster.callers.ask(cluster.processes.get(GATEWAY), request, responses::add);
        }
        return responses;
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
