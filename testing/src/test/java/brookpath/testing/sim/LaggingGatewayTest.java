package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A gateway that handles replies late, as on a small machine when all clients reconnect at once. Guards against
 * dropping a reply that arrives after the gateway has repeated its request: with a constant lag it would never make
 * progress.
 */
public final class LaggingGatewayTest {
    private static final String TOPIC = "permits/a";
    private static final int LAGGING = 33;
    private static final int OTHER = 32;
    private static final long CLIENT_RETRY_MS = 500;
    private static final int CLIENT_RETRIES = 10;

    private SimulatedCluster cluster;

    @BeforeMethod
    public void start() {
        cluster = ServingCluster.start(51);
    }

    /** From below the failure detection time to beyond the time-out of a long poll, in milliseconds. */
    @DataProvider
    public Object[][] lags() {
        final TimingBounds timing = TimingBounds.DEFAULT;
        return new Object[][] {
            {timing.detectionTime() / 2},
            {timing.detectionTime() + 50},
            {timing.longPollTimeout() + timing.heartbeat() + 50}
        };
    }

    @Test(dataProvider = "lags")
    public void sessionResumesFromItsCursorWithoutMissingARecord(final long lagMs) {
        final long first = open(OTHER);
        final String cursor = join(OTHER, first, null).json();
        publish(1);
        lag(lagMs);
        final long second = open(LAGGING);
        Response joined = join(LAGGING, second, cursor);
        for (int i = 0; i < CLIENT_RETRIES && joined.status() != 200; i++) {
            cluster.run(cluster.now() + CLIENT_RETRY_MS);
            joined = join(LAGGING, second, cursor);
        }
        assertEquals(joined.status(), 200, "the topic was never joined");
        publish(2);
        cluster.run(cluster.now() + 4 * lagMs + TimingBounds.DEFAULT.deliverMs());
        assertEquals(deliveredSequences(second), List.of(1L, 2L));
    }

    /** The topic is live before the lag begins, so its records come through the feed. */
    @Test(dataProvider = "lags")
    public void liveTopicKeepsReceivingRecords(final long lagMs) {
        final long session = open(LAGGING);
        assertEquals(join(LAGGING, session, null).status(), 200);
        lag(lagMs);
        for (long sequence = 1; sequence <= 3; sequence++) {
            publish(sequence);
            cluster.run(cluster.now() + 4 * lagMs + TimingBounds.DEFAULT.deliverMs());
        }
        assertEquals(deliveredSequences(session), List.of(1L, 2L, 3L));
    }

    /** A gateway that handles the control plane's replies late still renews its lease. */
    @Test(dataProvider = "lags")
    public void leaseIsRenewedAlthoughPollRepliesAreLate(final long lagMs) {
        final long session = open(LAGGING);
        assertEquals(join(LAGGING, session, null).status(), 200);
        final long pollLagMs = lagMs * 2;
        cluster.controllers.forEach(
                controller -> cluster.net.linkDelayMs.put(SimulatedNetwork.link(controller, LAGGING), pollLagMs));
        cluster.run(cluster.now() + 4 * TimingBounds.DEFAULT.leaseMs());
        publish(1);
        cluster.run(cluster.now() + TimingBounds.DEFAULT.deliverMs());
        assertEquals(deliveredSequences(session), List.of(1L), "the record was not delivered: the lease has expired");
    }

    private void lag(final long lagMs) {
        cluster.storages.forEach(
                storage -> cluster.net.linkDelayMs.put(SimulatedNetwork.link(storage, LAGGING), lagMs));
    }

    private long open(final int gateway) {
        final long[] id = new long[1];
        final Response opened = ask(gateway, requestId -> {
            id[0] = requestId;
            return new NodeRequest.Open(requestId, "key-members");
        });
        assertEquals(opened.status(), 200);
        return id[0];
    }

    private Response join(final int gateway, final long session, final String cursor) {
        return ask(gateway, requestId -> new NodeRequest.Join(requestId, session, TOPIC, cursor));
    }

    private void publish(final long sequence) {
        final Response published = ask(
                OTHER,
                requestId -> new NodeRequest.Publish(requestId, "key-members", TOPIC, "ana", sequence, "m" + sequence));
        assertEquals(published.status(), 200);
    }

    private Response ask(final int node, final LongFunction<NodeRequest> request) {
        final List<Response> responses = new ArrayList<>();
        cluster.callers.ask(cluster.processes.get(node), request, responses::add);
        final long deadline = cluster.now() + 2 * TimingBounds.DEFAULT.deliverMs();
        while (responses.isEmpty() && cluster.now() < deadline) {
            cluster.run(cluster.now() + 10);
        }
        assertEquals(responses.size(), 1, "no response");
        return responses.get(0);
    }

    private List<Long> deliveredSequences(final long session) {
        final List<Long> sequences = new ArrayList<>();
        cluster.callers.sessionActions.forEach(action -> {
            if (action instanceof Action.DeliverRecord delivery && delivery.sessionId() == session) {
                sequences.add(delivery.logRecord().seq());
            }
        });
        return sequences;
    }
}
