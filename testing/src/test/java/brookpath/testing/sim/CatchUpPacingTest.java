package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.action.Action;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.Cursor;
import brookpath.coordination.node.NodeRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Sessions that take up saved places of topics with a large history. */
public final class CatchUpPacingTest {
    private static final int GATEWAY = 31;
    private static final int MESSAGES = 60;
    private static final int TEXT_BYTES = 16_000;
    private static final int TOPICS = 4;
    /** What the connection of a client queues before it takes the client for too slow. */
    private static final long CONNECTION_QUEUE_BYTES = 256 << 10;

    private SimulatedCluster cluster;

    private Response ask(final LongFunction<NodeRequest> request) {
        final List<Response> responses = new ArrayList<>();
        cluster.callers.ask(cluster.processes.get(GATEWAY), request, responses::add);
        for (int i = 0; i < 400 && responses.isEmpty(); i++) {
            cluster.run(cluster.now() + 10);
        }
        return responses.get(0);
    }

    private static String topic(final int number) {
        return "permits/catch-up-" + number;
    }

    private void publishHistory() {
        for (int i = 0; i < MESSAGES; i++) {
            for (int t = 0; t < TOPICS; t++) {
                final String topic = topic(t);
                final long sequence = i + 1L;
                assertEquals(
                        ask(id -> new NodeRequest.Publish(
                                        id, "key-members", topic, "ana", sequence, "x".repeat(TEXT_BYTES)))
                                .status(),
                        200);
            }
        }
    }

    private List<Action.DeliverRecord> delivered() {
        return cluster.callers.sessionActions.stream()
                .filter(Action.DeliverRecord.class::isInstance)
                .map(Action.DeliverRecord.class::cast)
                .toList();
    }

    private long deliveredBytes() {
        return delivered().stream()
                .mapToLong(delivery -> delivery.logRecord().bytes().length)
                .sum();
    }

    /** Guards against a client that is disconnected as too slow by one burst of what it has missed (review/4). */
    @Test
    public void aSessionGetsItsHistoryAsFastAsItsConnectionTakesIt() {
        cluster = ServingCluster.start(91);
        publishHistory();
        final long[] session = new long[1];
        ask(id -> {
            session[0] = id;
            return new NodeRequest.Open(id, "key-members");
        });
        cluster.callers.holdsDeliveries = true;
        for (int t = 0; t < TOPICS; t++) {
            final String topic = topic(t);
            cluster.callers.ask(
                    cluster.processes.get(GATEWAY),
                    id -> new NodeRequest.Join(id, session[0], topic, Cursor.encodePosition(0)),
                    response -> assertEquals(response.status(), 200));
        }
        final int all = MESSAGES * TOPICS;
        long before = 0;
        for (int flushes = 0; flushes < all && delivered().size() < all; flushes++) {
            cluster.run(cluster.now() + 500);
            final long burst = deliveredBytes() - before;
            assertTrue(burst > 0, "nothing was delivered after flush " + flushes);
            assertTrue(burst <= CONNECTION_QUEUE_BYTES, burst + " bytes at once");
            before = deliveredBytes();
            cluster.callers.flushHeld();
        }
        for (int t = 0; t < TOPICS; t++) {
            final String topic = topic(t);
            assertEquals(
                    delivered().stream()
                            .filter(delivery -> delivery.logRecord().topic().equals(topic))
                            .map(delivery -> delivery.logRecord().seq())
                            .toList(),
                    LongStream.rangeClosed(1, MESSAGES).boxed().toList());
        }
    }
}
