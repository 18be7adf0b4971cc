package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** A cluster with publishers and subscribers whose storage machines are lost, replaced and retired. */
final class GroupRepairScene {
    static final int GROUPS = 4;
    private static final int REPLICAS = 3;
    private static final int GATEWAY = 32;

    final SimulatedCluster cluster;
    /** The first response to each publish, which a repeat must get again; the key is sender and topic. */
    private final TreeMap<String, String> answers = new TreeMap<>();

    /** Starts a cluster with publishers and subscribers, and serves them for three seconds. */
    GroupRepairScene(final long seed) {
        this(ServingCluster.start(seed));
    }

    GroupRepairScene(final SimulatedCluster serving) {
        cluster = serving;
        for (int i = 0; i < 9; i++) {
            final String topic = "permits/t" + i;
            cluster.callers.publisher("ana", topic, "key-members", 200, 40);
            cluster.callers.subscriber("sub-" + i, "key-members", List.of(topic));
        }
        run(3_000);
    }

    GroupMachine replica(final int node, final int group) {
        final SimulatedProcess p = cluster.processes.get(node);
        return p.alive && !p.frozen() && p.node instanceof StorageNode s ? s.group(group) : null;
    }

    /** Lets this much simulated time pass. */
    void run(final long ms) {
        cluster.run(cluster.now() + ms);
    }

    private GroupMachine actingLeader(final int group) {
        for (final int id : cluster.storages) {
            final GroupMachine g = replica(id, group);
            if (g != null && g.mayAct(cluster.processes.get(id).mono())) {
                return g;
            }
        }
        return null;
    }

    SimulatedProcess controlLeader() {
        for (final int id : cluster.controllers) {
            final SimulatedProcess p = cluster.processes.get(id);
            if (p.alive && ((ControllerNode) p.node).group().mayAct(p.mono())) {
                return p;
            }
        }
        return null;
    }

    /**
     * Whether the group has three voters, all up and with the membership synced, and {@code without} is not one of
     * them.
     */
    private boolean isFullyReplicated(final int group, final int without) {
        final GroupMachine leader = actingLeader(group);
        if (leader == null || !leader.membershipSettled() || leader.members().size() != REPLICAS) {
            return false;
        }
        for (final Member m : leader.members()) {
            final GroupMachine replica = replica(m.node(), group);
            final boolean counts =
                    replica != null && !replica.lost() && replica.syncedIndex() >= leader.membershipIndex();
            if (m.node() == without || !counts) {
                return false;
            }
        }
        return true;
    }

    boolean allFullyReplicated(final int without) {
        for (int g = 0; g < GROUPS; g++) {
            if (!isFullyReplicated(g, without)) {
                return false;
            }
        }
        return true;
    }

    /** Runs until all groups are fully replicated again, and returns how long that took, in milliseconds. */
    long msUntilFullyReplicated(final int without, final long limit) {
        final long from = cluster.now();
        while (!allFullyReplicated(without) && cluster.now() < from + limit) {
            run(5);
        }
        return allFullyReplicated(without) ? cluster.now() - from : Long.MAX_VALUE;
    }

    private Response publish(final String topic, final String sender, final long seq) {
        final Response[] got = new Response[1];
        cluster.callers.ask(
                cluster.processes.get(GATEWAY),
                id -> new NodeRequest.Publish(id, "key-members", topic, sender, seq, "x"),
                r -> got[0] = r);
        for (int i = 0; i < 400 && got[0] == null; i++) {
            run(10);
        }
        assertNotNull(got[0], "no response within 4 s");
        return got[0];
    }

    void publishAll(final String sender) {
        for (int i = 0; i < 9; i++) {
            // A topic without subscribers: the delivery oracle does not know of these publishes
            final String topic = "permits/read-back" + i;
            final Response r = publish(topic, sender, 1);
            assertEquals(r.status(), 200, cluster.now() + " " + topic + ": " + r);
            answers.put(sender + " " + topic, r.json());
        }
    }

    /** Asserts that committed records have kept their positions, and that new publishes are committed. */
    void verifyCommitted(final String what) {
        answers.forEach((key, json) -> {
            final String[] parts = key.split(" ");
            final Response again = publish(parts[1], parts[0], 1);
            assertTrue(
                    again.json().equals(json), what + ": " + key + " got " + again + ", not " + json + "\n" + notes());
        });
        publishAll("later" + cluster.now());
        cluster.callers.quiet = true;
        run(25_000);
        cluster.history.settle(cluster.now());
        assertTrue(
                cluster.history.violations().isEmpty(), what + ": " + String.join("\n", cluster.history.violations()));
    }

    void loseMachine(final int node) {
        final SimulatedProcess p = cluster.processes.get(node);
        cluster.kill(p, true);
        p.disk.wipe();
    }

    void loseDiskAndReturn(final int node, final long downMs) {
        loseMachine(node);
        cluster.at(cluster.now() + downMs, () -> cluster.restart(cluster.processes.get(node)));
    }

    String notes() {
        return String.join("\n", cluster.notes());
    }

    int membershipsOf(final int node) {
        int n = 0;
        for (int g = 0; g < GROUPS; g++) {
            n += actingLeader(g).membership().holds(node) ? 1 : 0;
        }
        return n;
    }

    List<Integer> versions() {
        final List<Integer> versions = new ArrayList<>();
        for (int g = 0; g < GROUPS; g++) {
            versions.add(actingLeader(g).groupVersion());
        }
        return versions;
    }

    void retire(final int node) {
        final Response[] got = new Response[1];
        for (int i = 0; i < 20 && (got[0] == null || got[0].status() == 503); i++) {
            cluster.callers.ask(
                    controlLeader(),
                    id -> new NodeRequest.Operate(
                            id,
                            ControlRequestKind.RETIRE,
                            PackedBuffer.writer().putLong(node).putLong(1).toByteArray()),
                    r -> got[0] = r);
            run(10);
        }
        assertEquals(got[0].status(), 202, got[0].toString());
    }

    private boolean isRetired(final int node) {
        final SimulatedProcess leader = controlLeader();
        final ControllerNode control = leader == null ? null : (ControllerNode) leader.node;
        return control != null
                && !control.statusJson(leader.time()).contains("\"placement\":[]")
                && placedGroups(control, leader, node) == 0;
    }

    private int placedGroups(final ControllerNode control, final SimulatedProcess leader, final int node) {
        return control.statusJson(leader.time()).split("\\{\"node\":" + node + ",\"zone\":\"[a-d]\",\"weight\"").length
                - 1;
    }

    void runUntilRetired(final int leaving, final String what) {
        final long limit = cluster.now() + 30_000;
        while (!isRetired(leaving) && cluster.now() < limit) {
            run(1);
        }
        assertTrue(isRetired(leaving), what + " is not complete:\n" + notes());
        for (int g = 0; g < GROUPS; g++) {
            final GroupMachine leader = actingLeader(g);
            assertTrue(
                    leader == null || !leader.membership().holds(leaving),
                    what + ": group " + g + " still has it as a member");
        }
    }

    long declaredLostAt() {
        return cluster.notes().stream()
                .filter(n -> n.contains("considered lost: [1"))
                .mapToLong(n -> Long.parseLong(n.substring(0, n.indexOf(' '))))
                .findFirst()
                .orElse(Long.MAX_VALUE / 4);
    }
}
