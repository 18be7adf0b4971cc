package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Storage nodes whose history would take more memory than they have. */
public final class LogMemoryLimitTest {
    private static final long LIMIT_BYTES = 256 << 10;
    private static final String TEXT = "x".repeat(4_000);
    private static final int TOPICS = 40;
    private static final int MESSAGES = 300;
    private static final long PERIOD_MS = 20;
    /** A node stops accepting for the groups that it leads; the other nodes accept until they reach the limit too. */
    private static final long MAX_HELD_BYTES = LIMIT_BYTES * 3 / 2 + (64 << 10);

    private SimulatedCluster cluster;

    private long heldBytes(final SimulatedProcess process) {
        long held = 0;
        for (int id = 0; id < FleetSize.SMALL.groups(); id++) {
            final GroupMachine group = ((StorageNode) process.node).group(id);
            held += group == null ? 0 : group.logMemoryBytes();
        }
        return held;
    }

    private void publish(final String topic, final long sequence, final List<Integer> statuses) {
        cluster.callers.ask(
                cluster.processes.get(31),
                id -> new NodeRequest.Publish(id, "key-members", topic, "ana", sequence, TEXT),
                (final Response response) -> statuses.add(response.status()));
        cluster.run(cluster.now() + PERIOD_MS);
    }

    /** Guards against storage processes that end again and again, since their heap is exhausted (review/1). */
    @Test
    public void publishesBeyondTheLimitAreRefusedUntilHistoryIsTrimmed() {
        cluster = ServingCluster.start(81);
        cluster.maxLogMemoryBytes = LIMIT_BYTES;
        for (final int id : cluster.storages) {
            cluster.kill(cluster.processes.get(id), false);
            cluster.restart(cluster.processes.get(id));
        }
        cluster.run(cluster.now() + 4_000);
        final List<Integer> statuses = new ArrayList<>();
        long held = 0;
        for (int i = 0; i < MESSAGES; i++) {
            publish("permits/t" + i % TOPICS, i + 1, statuses);
            for (final int id : cluster.storages) {
                held = Math.max(held, heldBytes(cluster.processes.get(id)));
            }
        }
        assertEquals((int) statuses.get(0), 200);
        assertTrue(statuses.contains(503), "nothing was refused: " + statuses);
        assertTrue(held > LIMIT_BYTES && held <= MAX_HELD_BYTES, held + " bytes were held");
        cluster.run(cluster.now() + Callers.RETENTION_MS + cluster.timing.retentionMargin() + 1_000);
        statuses.clear();
        publish("permits/t1", MESSAGES + 1, statuses);
        cluster.run(cluster.now() + 1_000);
        assertEquals(statuses, List.of(200), "refused although the history was trimmed");
    }
}
