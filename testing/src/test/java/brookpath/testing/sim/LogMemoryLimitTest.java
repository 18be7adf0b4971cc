package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.placement.Placement;
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

    /** What may arrive between the moment that a follower is full and the moment that its leaders know. */
    private static final long IN_FLIGHT_BYTES = 64 << 10;

    private static final int MAX_SEEDS = 20;

    private SimulatedCluster cluster;

    private long heldBytes(final SimulatedProcess process) {
        long held = 0;
        for (int id = 0; id < FleetSize.SMALL.groups(); id++) {
            final GroupMachine group = ((StorageNode) process.node).group(id);
            held += group == null ? 0 : group.logMemoryBytes();
        }
        return held;
    }

    private StorageNode node(final int id) {
        return (StorageNode) cluster.processes.get(id).node;
    }

    private int leaderOf(final int group) {
        for (final int id : cluster.storages) {
            final GroupMachine replica = node(id).group(group);
            if (replica != null && replica.role() == GroupMachine.LEADER) {
                return id;
            }
        }
        return 0;
    }

    /**
     * Two groups with followers in common, where the leader of the first holds no replica of the other; null for none.
     */
    private List<Integer> groupsOfWhichALeaderSeesOne() {
        for (int one = 0; one < FleetSize.SMALL.groups(); one++) {
            for (int other = 0; other < FleetSize.SMALL.groups(); other++) {
                final int leader = leaderOf(one);
                if (leader != 0 && node(leader).group(other) == null) {
                    return List.of(one, other);
                }
            }
        }
        return null;
    }

    private void startWithLimit(final long seed) {
        cluster = ServingCluster.start(seed);
        cluster.maxLogMemoryBytes = LIMIT_BYTES;
        for (final int id : cluster.storages) {
            cluster.kill(cluster.processes.get(id), false);
            cluster.restart(cluster.processes.get(id));
        }
        cluster.run(cluster.now() + 4_000);
    }

    /** Guards against a follower of two busy groups that outgrows its limit, which no leader looked at (review/4). */
    @Test
    public void publishesAreRefusedWhileAFollowerHasNoMemoryForThem() {
        List<Integer> groups = null;
        for (long seed = 81; groups == null && seed < 81 + MAX_SEEDS; seed++) {
            startWithLimit(seed);
            groups = groupsOfWhichALeaderSeesOne();
        }
        assertNotNull(groups, "no two groups of which a leader sees only one");
        final List<String> topics = topicsOf(groups);
        final List<Integer> statuses = new ArrayList<>();
        long held = 0;
        for (int i = 0; i < MESSAGES; i++) {
            publish(topics.get(i % topics.size()), i + 1, statuses);
            for (final int id : cluster.storages) {
                held = Math.max(held, heldBytes(cluster.processes.get(id)));
            }
        }
        assertTrue(statuses.contains(503), "nothing was refused: " + statuses);
        assertTrue(held > LIMIT_BYTES && held <= LIMIT_BYTES + IN_FLIGHT_BYTES, held + " bytes were held");
        cluster.run(cluster.now() + Callers.RETENTION_MS + cluster.timing.retentionMargin() + 1_000);
        statuses.clear();
        publish(topics.get(0), MESSAGES + 1, statuses);
        cluster.run(cluster.now() + 1_000);
        assertEquals(statuses, List.of(200), "refused although the history was trimmed");
    }

    private List<String> topicsOf(final List<Integer> groups) {
        final Configuration configuration =
                ((GatewayNode) cluster.processes.get(31).node).client().configuration();
        final List<String> topics = new ArrayList<>();
        for (int i = 0; i < TOPICS; i++) {
            final String topic = "permits/t" + i;
            if (groups.contains(Placement.groupOf(topic, configuration.spaceOf(topic), FleetSize.SMALL.groups()))) {
                topics.add(topic);
            }
        }
        return topics;
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
        startWithLimit(81);
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
        assertTrue(held > LIMIT_BYTES && held <= LIMIT_BYTES + IN_FLIGHT_BYTES, held + " bytes were held");
        cluster.run(cluster.now() + Callers.RETENTION_MS + cluster.timing.retentionMargin() + 1_000);
        statuses.clear();
        publish("permits/t1", MESSAGES + 1, statuses);
        cluster.run(cluster.now() + 1_000);
        assertEquals(statuses, List.of(200), "refused although the history was trimmed");
    }
}
