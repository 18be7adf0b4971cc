package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.testng.annotations.Test;

/** Requests that their caller gives up: each is answered once, or it would hold an entry of the process for good. */
public final class AbandonedRequestsTest {
    private static final int GATEWAY = 31;
    private static final String TOPIC = "permits/north";
    private static final long OUTAGE_MS = 200;

    private SimulatedCluster cluster;

    private void begin(final long seed) {
        cluster = ServingCluster.start(seed);
    }

    private List<Response> ask(final LongFunction<NodeRequest> request) {
        final List<Response> responses = new ArrayList<>();
        cluster.callers.ask(cluster.processes.get(GATEWAY), request, responses::add);
        cluster.run(cluster.now() + 10);
        return responses;
    }

    private void tell(final NodeRequest request) {
        cluster.processes.get(GATEWAY).run(p -> p.node.request(request, p.time()));
        cluster.run(cluster.now() + 10);
    }

    private long open() {
        final long[] session = new long[1];
        assertEquals(
                ask(id -> {
                            session[0] = id;
                            return new NodeRequest.Open(id, "key-members");
                        })
                        .size(),
                1);
        return session[0];
    }

    /** Without storage nodes a join waits for the position of its topic. */
    private List<Response> pendingJoin(final long session) {
        for (final int id : cluster.storages) {
            if (cluster.processes.get(id).alive) {
                cluster.kill(cluster.processes.get(id), false);
            }
        }
        cluster.run(cluster.now() + OUTAGE_MS);
        final List<Response> responses = ask(id -> new NodeRequest.Join(id, session, TOPIC, null));
        assertTrue(responses.isEmpty(), "answered without a storage node: " + responses);
        return responses;
    }

    private static void assertCancelled(final List<Response> responses) {
        assertEquals(responses.size(), 1, responses.toString());
        assertEquals(responses.get(0).code(), "left");
    }

    /** Guards against a gateway that refuses everything, since joins of clients that left fill it (review/2). */
    @Test
    public void aPendingJoinIsAnsweredWhenItsSessionEnds() {
        begin(61);
        final long session = open();
        final List<Response> join = pendingJoin(session);
        tell(new NodeRequest.Unsubscribe(session));
        assertCancelled(join);
        cluster.run(cluster.now() + 5_000);
        assertEquals(join.size(), 1, join.toString());
    }

    @Test
    public void aPendingJoinIsAnsweredBeforeTheLeaveOfItsTopic() {
        begin(62);
        final long session = open();
        final List<Response> join = pendingJoin(session);
        final List<Response> leave = ask(id -> new NodeRequest.Leave(id, session, TOPIC));
        assertCancelled(join);
        assertEquals(leave.get(0).status(), 200);
    }

    @Test
    public void aPendingJoinIsAnsweredWhenItsTopicIsJoinedAgain() {
        begin(63);
        final long session = open();
        final List<Response> first = pendingJoin(session);
        final List<Response> second = ask(id -> new NodeRequest.Join(id, session, TOPIC, null));
        assertCancelled(first);
        assertTrue(second.isEmpty(), second.toString());
    }

    @Test
    public void aSharedSessionThatEndsBeforeItHasStartedIsAnswered() {
        begin(64);
        pendingJoin(open());
        final long[] session = new long[1];
        final List<Response> subscribe = ask(id -> {
            session[0] = id;
            return new NodeRequest.Subscribe(id, "key-members", List.of(TOPIC), "");
        });
        assertTrue(subscribe.isEmpty(), subscribe.toString());
        tell(new NodeRequest.Unsubscribe(session[0]));
        assertCancelled(subscribe);
    }

    @Test
    public void requestsThatWaitForTheLeaseAreAnsweredWhenTheirSessionEnds() {
        begin(65);
        final long session = open();
        for (final int id : cluster.controllers) {
            cluster.kill(cluster.processes.get(id), false);
        }
        List<Response> join = List.of(new Response(200, 0, ""));
        for (int i = 0; i < 1_000 && !join.isEmpty(); i++) {
            cluster.run(cluster.now() + 10);
            join = ask(id -> new NodeRequest.Join(id, session, TOPIC, null));
        }
        assertTrue(join.isEmpty(), "no join waited for the lease");
        tell(new NodeRequest.Unsubscribe(session));
        assertCancelled(join);
    }
}
