package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.action.Action;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.NodeRequest;
import java.util.List;
import java.util.function.LongFunction;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What sessions request while their gateway has no lease on the configuration and expects it back. */
public final class SessionWithoutLeaseTest {
    private static final int GATEWAY = 31;
    private static final int OTHER_GATEWAY = 32;
    private static final String TOPIC = "permits/a";
    private static final String KEY = "key-members";
    private static final long ANSWER_MS = 4_000;
    private static final long SETTLE_MS = 500;

    private SimulatedCluster cluster;
    private long session;

    /** A response that may not have arrived yet. */
    private static final class Answer {
        private Response response;

        private Response get() {
            assertNotNull(response, "no response");
            return response;
        }
    }

    @BeforeMethod
    public void openSession() {
        cluster = ServingCluster.start(71);
        final long[] id = new long[1];
        final Answer opened = ask(GATEWAY, request -> {
            id[0] = request;
            return new NodeRequest.Open(request, KEY);
        });
        cluster.run(cluster.now() + SETTLE_MS);
        assertEquals(opened.get().status(), 200);
        session = id[0];
    }

    private Answer ask(final int gateway, final LongFunction<NodeRequest> request) {
        final Answer answer = new Answer();
        cluster.callers.ask(cluster.processes.get(gateway), request, response -> answer.response = response);
        // Requests of one connection arrive in the order in which they were sent
        cluster.run(cluster.now() + 2);
        return answer;
    }

    private Answer join() {
        return ask(GATEWAY, id -> new NodeRequest.Join(id, session, TOPIC, null));
    }

    private Answer leave() {
        return ask(GATEWAY, id -> new NodeRequest.Leave(id, session, TOPIC));
    }

    private void loseLease() {
        for (final int controller : cluster.controllers) {
            cluster.net.cut(controller, GATEWAY);
            cluster.net.cut(GATEWAY, controller);
        }
        while (leased()) {
            cluster.run(cluster.now() + 10);
        }
        // The first timer event without a lease
        cluster.run(cluster.now() + cluster.timing.tick());
    }

    private void restoreLease() {
        cluster.net.heal();
        for (long waitedMs = 0; !leased() && waitedMs < ANSWER_MS; waitedMs += 10) {
            cluster.run(cluster.now() + 10);
        }
        assertTrue(leased(), "the lease did not return");
        cluster.run(cluster.now() + SETTLE_MS);
    }

    private boolean leased() {
        final SimulatedProcess gateway = cluster.processes.get(GATEWAY);
        return ((GatewayNode) gateway.node).client().leased(gateway.mono());
    }

    private List<Long> deliveredAfterPublish(final long sequence) {
        final Answer published =
                ask(OTHER_GATEWAY, id -> new NodeRequest.Publish(id, KEY, TOPIC, "ana", sequence, "says " + sequence));
        cluster.run(cluster.now() + SETTLE_MS);
        assertEquals(published.get().status(), 200);
        return cluster.callers.sessionActions.stream()
                .filter(action -> action instanceof Action.DeliverRecord record && record.sessionId() == session)
                .map(action -> ((Action.DeliverRecord) action).logRecord().seq())
                .toList();
    }

    /** Guards against a join that is executed after the session has left the topic (review/3). */
    @Test
    public void topicLeftWhileItsJoinWaitsForTheLeaseIsNotSubscribed() {
        loseLease();
        final Answer joined = join();
        final Answer left = leave();
        assertFalse(leased());
        restoreLease();
        assertEquals(left.get().status(), 200);
        assertEquals(joined.get().status(), 503, "the join was executed after the leave: " + joined.get());
        assertEquals(deliveredAfterPublish(1), List.of(), "delivered on a topic that the session had left");
    }

    /** Guards against a leave that cancels a join requested after it. */
    @Test
    public void topicJoinedAgainAfterItWasLeftIsSubscribed() {
        loseLease();
        final Answer first = join();
        leave();
        final Answer second = join();
        restoreLease();
        assertEquals(first.get().status(), 503);
        assertEquals(second.get().status(), 200);
        assertEquals(deliveredAfterPublish(1), List.of(1L));
    }
}
