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
 * Which gateways send callers on, and where to: small ones before their first lease, and those that these name once
 * they have more to set up than they can in time. The failure behind it is told in GatewayBeforeItsLeaseTest.
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
    /** The sessions that a large gateway sets up within the time that a caller waits, 400 ms of it by 5 ms each. */
    private static final int LIMIT = 52;

    private SimulatedCluster cluster;

    @Test
    public void onlyAGatewayThatStartsTooSlowlyRedirects() {
        assertTrue(StartupRedirect.of(SMALL, SEED_GATEWAYS, SELF, TIMING).isActive());
        assertFalse(StartupRedirect.of(LARGE, SEED_GATEWAYS, SELF, TIMING).isActive());
        assertFalse(StartupRedirect.of(UNKNOWN, SEED_GATEWAYS, SELF, TIMING).isActive());
        assertFalse(StartupRedirect.of(SMALL, List.of(), SELF, TIMING).isActive());
    }

    /** Those that are named redirect nobody before their lease, so that no caller is sent around. */
    @Test
    public void aGatewayBesideAControllerRedirectsNobodyBeforeItsLease() {
        SEED_GATEWAYS.forEach(seed -> assertFalse(
                StartupRedirect.of(SMALL, SEED_GATEWAYS, seed, TIMING).isActive(), seed));
    }

    @Test
    public void callersAreSpreadEvenly() {
        final StartupRedirect redirect = StartupRedirect.of(SMALL, SEED_GATEWAYS, SELF, TIMING);
        final List<String> named = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            named.add(redirect.nextAddress());
        }
        SEED_GATEWAYS.forEach(seed ->
                assertEquals(named.stream().filter(seed::equals).count(), CALLERS / SEED_GATEWAYS.size(), seed));
    }

    /** A burst beyond the limit is shared with the others, and no more is passed on than is taken in. */
    @Test
    public void aNamedGatewayPassesOnWhatItCannotSetUpInTime() {
        begin(true);
        // why: the addresses are asked for with the first session beyond the limit, which is still taken in
        openAll(LIMIT + 1);
        cluster.run(cluster.now() + TIMING.heartbeat());
        assertEquals(moves(), List.of());
        cluster.run(cluster.now() + TIMING.callerWaitLimit());
        final List<Response> responses = openAll(4 * LIMIT);
        cluster.run(cluster.now() + TIMING.heartbeat());
        final long takenIn =
                responses.stream().filter(response -> response.status() == 200).count();
        assertEquals(takenIn, 2 * LIMIT);
        assertEquals(moves().size(), 2 * LIMIT);
        assertTrue(moves().stream().noneMatch(move -> move.address().equals("sim:" + GATEWAY)), "never to itself");
    }

    @Test
    public void whatCanBeSetUpInTimeIsTakenIn() {
        begin(true);
        for (int burst = 0; burst < 3; burst++) {
            openAll(LIMIT);
            cluster.run(cluster.now() + TIMING.callerWaitLimit());
        }
        assertEquals(moves(), List.of());
    }

    /** One that nobody names has nobody to share with: a caller that was sent to it is served there. */
    @Test
    public void aGatewayThatIsNotNamedPassesNothingOn() {
        begin(false);
        for (int burst = 0; burst < 2; burst++) {
            openAll(4 * LIMIT);
            cluster.run(cluster.now() + TIMING.callerWaitLimit());
        }
        assertEquals(moves(), List.of());
    }

    private void begin(final boolean named) {
        cluster = ServingCluster.start(61);
        final SimulatedProcess gateway = cluster.processes.get(GATEWAY);
        cluster.kill(gateway, true);
        gateway.maker = (process, entries) -> new GatewayNode(
                process.info(),
                List.copyOf(cluster.controllers),
                cluster.timing,
                SessionOverflow.of(LARGE, named, cluster.timing),
                process.incarnation << 32);
        cluster.restart(gateway);
        cluster.run(cluster.now() + 4 * TIMING.deliverMs());
    }

    /** Opens so many sessions at once; the responses come with the next run. */
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
