package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.placement.Placement;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import java.util.function.Consumer;

/**
 * Base of the staged scenarios: a serving fleet in virtual time, in which a test causes one failure by hand. The
 * methods of a class run one after another, each on a cluster of its own.
 */
abstract class ClusterScenario {
    static final int GROUPS = 4;

    SimulatedCluster cluster;

    final void begin(final long seed) {
        cluster = SimulatedCluster.serving(seed);
    }

    final void startCallers() {
        for (int i = 0; i < 9; i++) {
            final String topic = "permits/t" + i;
            cluster.callers.publisher("ana", topic, "key-members", 200, 40);
            cluster.callers.subscriber("sub-" + i, "key-members", List.of(topic));
        }
        cluster.run(cluster.now() + 3_000);
    }

    final SimulatedProcess actingLeader(final int group) {
        for (final int id : cluster.storages) {
            final SimulatedProcess p = cluster.processes.get(id);
            final GroupMachine g = p.alive && !p.frozen() && p.node instanceof StorageNode s ? s.group(group) : null;
            if (g != null && g.mayAct(p.mono())) {
                return p;
            }
        }
        return null;
    }

    final GroupMachine group(final SimulatedProcess p, final int group) {
        return ((StorageNode) p.node).group(group);
    }

    /** The first other member. */
    final SimulatedProcess followerOf(final SimulatedProcess leader, final int group) {
        return cluster.processes.get(group(leader, group).members().stream()
                .map(m -> m.node())
                .filter(n -> n != leader.id)
                .findFirst()
                .orElseThrow());
    }

    final long millisUntilOtherLeader(final int group, final SimulatedProcess not, final long limit) {
        final long from = cluster.now();
        while (cluster.now() < from + limit) {
            cluster.run(cluster.now() + 10);
            final SimulatedProcess p = actingLeader(group);
            if (p != null && p != not) {
                return cluster.now() - from;
            }
        }
        return Long.MAX_VALUE;
    }

    /**
     * Empties the one machine that holds no copy of the group. With nowhere to make another copy, a member that is away
     * stays a member, however long.
     */
    final void retireSpareMachine(final int group) {
        final int spare = cluster.storages.stream()
                .filter(id -> group(cluster.processes.get(id), group) == null)
                .findFirst()
                .orElseThrow();
        sendOperatorRequest(
                "retire",
                PackedBuffer.writer().num(spare).num(1).done(),
                r -> assertEquals(r.status(), 202, r.toString()));
        for (int i = 0; i < 300 && replicasOn(cluster.processes.get(spare)) > 0; i++) {
            cluster.run(cluster.now() + 100);
        }
        assertEquals(
                replicasOn(cluster.processes.get(spare)), 0, cluster.notes().toString());
        cluster.run(cluster.now() + 2_000);
    }

    final void assertNoViolationsAfterQuiescence() {
        cluster.callers.quiet = true;
        cluster.run(cluster.now() + 25_000);
        cluster.history.settle(cluster.now());
        assertTrue(cluster.history.violations().isEmpty(), String.join("\n", cluster.history.violations()));
        assertTrue(cluster.history.committed() > 30 && cluster.history.delivered() > 5, cluster.counts.toString());
    }

    final int groupOf(final String topic) {
        return Placement.groupOf(topic, new Configuration.Space("permits", 30_000, false, 2), GROUPS);
    }

    final SimulatedProcess controlLeader() {
        for (final int id : cluster.controllers) {
            final SimulatedProcess p = cluster.processes.get(id);
            if (p.alive && ((ControllerNode) p.node).group().mayAct(p.mono())) {
                return p;
            }
        }
        return cluster.processes.get(cluster.controllers.get(0));
    }

    final void sendOperatorRequest(final String kind, final byte[] body, final Consumer<Response> then) {
        cluster.callers.asked(controlLeader(), id -> new NodeRequest.Operate(id, kind, body), then);
        cluster.run(cluster.now() + 500);
    }

    final int replicasOn(final SimulatedProcess p) {
        int n = 0;
        for (int g = 0; g < GROUPS; g++) {
            n += group(p, g) != null ? 1 : 0;
        }
        return n;
    }

    final Response publish(
            final int gateway, final String key, final String topic, final String sender, final long seq) {
        final Response[] got = new Response[1];
        cluster.callers.asked(
                cluster.processes.get(gateway),
                id -> new NodeRequest.Publish(id, key, topic, sender, seq, "x"),
                r -> got[0] = r);
        for (int i = 0; i < 400 && got[0] == null; i++) {
            cluster.run(cluster.now() + 10);
        }
        assertNotNull(got[0], "no response within 4 s");
        return got[0];
    }
}
