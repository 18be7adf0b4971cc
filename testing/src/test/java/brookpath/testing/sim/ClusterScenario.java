package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.placement.Placement;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import java.util.function.Consumer;

/**
 * Base class of scenario tests: a serving fleet in virtual time, into which a test injects one specific failure. The
 * test methods of a class run one after another, each on its own cluster.
 */
abstract class ClusterScenario {
    static final int GROUPS = 4;

    SimulatedCluster cluster;

    final void begin(final long seed) {
        cluster = ServingCluster.start(seed);
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

    /** The first member of the group other than the leader. */
    final SimulatedProcess followerOf(final SimulatedProcess leader, final int group) {
        return cluster.processes.get(group(leader, group).members().stream()
                .map(m -> m.node())
                .filter(n -> n != leader.id)
                .findFirst()
                .orElseThrow());
    }

    final long millisUntilOtherLeader(final int group, final SimulatedProcess formerLeader, final long timeoutMs) {
        final long start = cluster.now();
        while (cluster.now() < start + timeoutMs) {
            cluster.run(cluster.now() + 10);
            final SimulatedProcess p = actingLeader(group);
            if (p != null && p != formerLeader) {
                return cluster.now() - start;
            }
        }
        return Long.MAX_VALUE;
    }

    /**
     * Retires the only storage node that has no replica of the group. A member that is down then remains a member,
     * since there is no node left on which it could be replaced.
     */
    final void retireSpareMachine(final int group) {
        final int spare = cluster.storages.stream()
                .filter(id -> group(cluster.processes.get(id), group) == null)
                .findFirst()
                .orElseThrow();
        sendOperatorRequest(
                "retire",
                PackedBuffer.writer().putLong(spare).putLong(1).toByteArray(),
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
        cluster.callers.ask(
                controlLeader(), id -> new NodeRequest.Operate(id, ControlRequestKind.of(kind), body), then);
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
        final Response[] response = new Response[1];
        cluster.callers.ask(
                cluster.processes.get(gateway),
                id -> new NodeRequest.Publish(id, key, topic, sender, seq, "x"),
                r -> response[0] = r);
        for (int i = 0; i < 400 && response[0] == null; i++) {
            cluster.run(cluster.now() + 10);
        }
        assertNotNull(response[0], "no response within 4 s");
        return response[0];
    }
}
