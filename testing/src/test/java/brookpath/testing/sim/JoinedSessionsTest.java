package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.action.Action;
import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.Response;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Cursor;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.coordination.placement.Placement;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.testng.annotations.Test;

/** Sessions that join and leave topics, publishes that are retried after a leader is lost, and graceful shutdowns. */
public final class JoinedSessionsTest {
    private static final String TOPIC = "permits/a";

    private SimulatedCluster cluster;

    private void begin(final long seed) {
        cluster = ServingCluster.start(seed);
    }

    private Response ask(final int node, final LongFunction<NodeRequest> request) {
        final Response[] got = new Response[1];
        cluster.callers.ask(cluster.processes.get(node), request, r -> got[0] = r);
        for (int i = 0; i < 400 && got[0] == null; i++) {
            cluster.run(cluster.now() + 10);
        }
        assertNotNull(got[0], "no response within 4 s");
        return got[0];
    }

    private long open(final int gateway, final String key) {
        final long[] id = new long[1];
        assertEquals(
                ask(gateway, i -> {
                            id[0] = i;
                            return new NodeRequest.Open(i, key);
                        })
                        .status(),
                200);
        return id[0];
    }

    private Response join(final int gateway, final long session, final String topic, final String cursor) {
        return ask(gateway, i -> new NodeRequest.Join(i, session, topic, cursor));
    }

    private Response publish(final int gateway, final long seq) {
        return ask(gateway, i -> new NodeRequest.Publish(i, "key-members", TOPIC, "ana", seq, "says " + seq));
    }

    private List<Action.DeliverRecord> delivered(final long session) {
        final List<Action.DeliverRecord> list = new ArrayList<>();
        cluster.callers.sessionActions.forEach(a -> {
            if (a instanceof Action.DeliverRecord d && d.sessionId() == session) {
                list.add(d);
            }
        });
        return list;
    }

    private List<Long> deliveredSequences(final long session) {
        return delivered(session).stream().map(d -> d.logRecord().seq()).toList();
    }

    private SimulatedProcess leader() {
        final int g = Placement.groupOf(
                TOPIC, new Configuration.Space("permits", 30_000, false, 2), FleetSize.SMALL.groups());
        for (final int id : cluster.storages) {
            final SimulatedProcess p = cluster.processes.get(id);
            final GroupMachine m = p.alive && p.node instanceof StorageNode s ? s.group(g) : null;
            if (m != null && m.mayAct(p.mono())) {
                return p;
            }
        }
        throw new AssertionError("group " + g + " has no acting leader");
    }

    @Test
    public void topicResumesFromItsCursorAtAnotherGatewayAfterTheFirstOneDied() {
        begin(21);
        final long first = open(31, "key-members");
        assertTrue(Cursor.decodePosition(join(31, first, TOPIC, null).json()) >= 0);
        for (long seq = 1; seq <= 3; seq++) {
            assertEquals(publish(32, seq).status(), 200);
        }
        cluster.run(cluster.now() + 300);
        assertEquals(deliveredSequences(first), List.of(1L, 2L, 3L));
        final String cursor =
                Cursor.encodePosition(delivered(first).get(1).logRecord().index());
        cluster.kill(cluster.processes.get(31), true);
        assertEquals(publish(32, 4).status(), 200);
        final long second = open(33, "key-members");
        final Response joined = join(33, second, TOPIC, cursor);
        assertEquals(joined.json(), cursor);
        assertEquals(publish(32, 5).status(), 200);
        cluster.run(cluster.now() + 300);
        assertEquals(deliveredSequences(second), List.of(3L, 4L, 5L));
        assertEquals(ask(33, i -> new NodeRequest.Leave(i, second, TOPIC)).status(), 200);
        assertEquals(publish(32, 6).status(), 200);
        cluster.run(cluster.now() + 300);
        assertEquals(deliveredSequences(second), List.of(3L, 4L, 5L), "delivered after the session left the topic");
    }

    @Test
    public void invalidCursorsTopicsAndKeysAreRefused() {
        begin(22);
        final long session = open(31, "key-members");
        assertEquals(join(31, session, TOPIC, "nonsense!").status(), 400);
        assertEquals(join(31, session, "nowhere", null).code(), "space");
        assertEquals(join(31, session, "two words", null).status(), 400);
        assertEquals(ask(31, i -> new NodeRequest.Open(i, "key-nobody")).status(), 401);
        assertEquals(join(31, open(31, ""), TOPIC, null).status(), 401, "the space is not open");
    }

    @Test
    public void topicEndsWhenItsKeyIsRevoked() {
        begin(23);
        final long session = open(31, "key-guest");
        assertEquals(join(31, session, TOPIC, null).status(), 200);
        assertEquals(publish(32, 1).status(), 200);
        cluster.callers.operators.change(
                cluster.callers.operators.document(1, "second", false),
                "second",
                r -> assertEquals(r.status(), 200, r.toString()));
        cluster.run(cluster.now() + 3_000);
        assertTrue(
                cluster.callers.sessionActions.stream()
                        .anyMatch(a -> a instanceof Action.TopicEnded e
                                && e.sessionId() == session
                                && e.topic().equals(TOPIC)
                                && e.reason().status() == 401),
                cluster.callers.sessionActions.toString());
        assertEquals(publish(32, 2).status(), 200);
        cluster.run(cluster.now() + 300);
        assertEquals(deliveredSequences(session), List.of(1L));
    }

    @Test
    public void publishSucceedsAlthoughItsLeaderIsLost() {
        for (long seed = 31; seed < 37; seed++) {
            begin(seed);
            final long session = open(32, "key-members");
            join(32, session, TOPIC, null);
            assertEquals(publish(31, 1).status(), 200);
            final SimulatedProcess leader = leader();
            final List<Response> got = new ArrayList<>();
            cluster.callers.ask(
                    cluster.processes.get(31),
                    i -> new NodeRequest.Publish(i, "key-members", TOPIC, "ana", 2, "x"),
                    got::add);
            // later with each seed, so that the leader is lost at a different stage of the publish
            cluster.run(cluster.now() + seed - 30);
            cluster.kill(leader, true);
            cluster.run(cluster.now() + 3_000);
            assertEquals(got.size(), 1, "seed " + seed);
            assertEquals(got.get(0).status(), 200, "seed " + seed + ": " + got);
            assertEquals(deliveredSequences(session), List.of(1L, 2L), "seed " + seed);
        }
    }

    @Test
    public void pipelinedPublishesKeepTheirOrderWhenTheLeaderIsLost() {
        for (long seed = 41; seed < 47; seed++) {
            begin(seed);
            final long session = open(32, "key-members");
            join(32, session, TOPIC, null);
            final SimulatedProcess leader = leader();
            final Response[] got = new Response[9];
            for (int seq = 1; seq <= 8; seq++) {
                final int n = seq;
                cluster.callers.ask(
                        cluster.processes.get(31),
                        i -> new NodeRequest.Publish(i, "key-members", TOPIC, "ana", n, "x" + n),
                        r -> got[n] = r);
            }
            cluster.run(cluster.now() + 1 + seed % 6);
            cluster.kill(leader, true);
            cluster.run(cluster.now() + 3_000);
            final List<Long> deliveredSequences = deliveredSequences(session);
            assertEquals(
                    deliveredSequences,
                    deliveredSequences.stream().sorted().distinct().toList(),
                    "seed " + seed);
            for (int seq = 1; seq <= 8; seq++) {
                assertNotNull(got[seq], "seed " + seed + ", sequence " + seq + " got no response");
                assertTrue(
                        got[seq].status() != 200 || deliveredSequences.contains((long) seq),
                        "seed " + seed + ", sequence " + seq + " was accepted but not delivered");
                assertFalse(
                        (got[seq].status() == 503 || got[seq].status() == 409)
                                && deliveredSequences.contains((long) seq),
                        "seed " + seed + ", sequence " + seq + " was refused but delivered");
            }
        }
    }

    @Test
    public void repeatedSequenceIsAcceptedAndALowerOneIsRefused() {
        begin(24);
        assertEquals(publish(31, 5).status(), 200);
        assertEquals(publish(33, 5).status(), 200);
        assertEquals(publish(32, 4).status(), 409);
        final SimulatedProcess leader = leader();
        cluster.kill(leader, true);
        cluster.run(cluster.now() + 2_000);
        assertEquals(publish(31, 5).status(), 200);
        assertEquals(publish(31, 4).status(), 409);
    }

    @Test
    public void storageNodeThatShutsDownTransfersItsLeadership() {
        begin(25);
        final SimulatedProcess leaving = leader();
        final long requestedAt = cluster.now();
        assertEquals(ask(leaving.id, NodeRequest.GracefulShutdown::new).status(), 200);
        assertTrue(
                cluster.now() - requestedAt < cluster.timing.detectionTime(),
                "the shutdown took " + (cluster.now() - requestedAt) + " ms");
        // the node shuts down once another is elected, which acts only after it has opened its term
        cluster.run(cluster.now() + 50);
        assertTrue(leader() != leaving);
        assertEquals(publish(31, 1).status(), 200);
        cluster.run(cluster.now() + 2_000);
        assertTrue(leader() != leaving, "it was elected again although it is shutting down");
    }

    @Test
    public void gatewayThatShutsDownMovesItsSessionsAndThenResponds() {
        begin(26);
        final long session = open(31, "key-members");
        join(31, session, TOPIC, null);
        assertEquals(ask(31, NodeRequest.GracefulShutdown::new).status(), 200);
        final Action.MoveSession move = (Action.MoveSession) cluster.callers.sessionActions.stream()
                .filter(a -> a instanceof Action.MoveSession)
                .findFirst()
                .orElseThrow();
        assertEquals(move.sessionId(), session);
        assertTrue(List.of("sim:32", "sim:33").contains(move.address()), move.toString());
        assertEquals(ask(31, NodeRequest.ReadinessProbe::new).status(), 503);
    }

    @Test
    public void configurationMayContainItsVersionAndAnAnnotation() {
        begin(27);
        final String doc = cluster.callers.operators.document(1, "numbered", true);
        final String numbered = "{\"version\":17,\"annotation\":\"as it was: {\\\"x\\\":35.0}\"," + doc.substring(1);
        final Response r = ask(
                1,
                i -> new NodeRequest.Operate(
                        i, ControlRequestKind.CHANGE, numbered.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        assertEquals(r.status(), 200, r.toString());
        assertTrue(r.json().contains("\"version\":17"), r.toString());
        final Response read = ask(2, i -> new NodeRequest.Operate(i, ControlRequestKind.CONFIGURATION, new byte[0]));
        assertTrue(
                read.json().contains("\"version\":17") && read.json().contains("as it was: {\\\"x\\\":35.0}"),
                read.json());
        assertEquals(
                ((GatewayNode) cluster.processes.get(31).node)
                        .client()
                        .configuration()
                        .version(),
                17);
        final String again = numbered.replace("numbered", "lower")
                .replace("\"basedOn\":1", "\"basedOn\":17")
                .replace("\"version\":17", "\"version\":16");
        assertEquals(
                ask(
                                3,
                                i -> new NodeRequest.Operate(
                                        i,
                                        ControlRequestKind.CHANGE,
                                        again.getBytes(java.nio.charset.StandardCharsets.UTF_8)))
                        .status(),
                422);
    }

    @Test
    public void controllerOutsideTheControlGroupForwardsRequestsAndKnowsTheMembers() {
        begin(28);
        final SimulatedProcess controller = new SimulatedProcess(
                cluster,
                4,
                "d",
                true,
                (process, entries) -> new ControllerNode(
                        new NodeInfo(4, "d", "sim:4", "four"),
                        List.of(),
                        List.of(1, 2, 3),
                        new GroupBootstrap(4, 3, 4, 1),
                        cluster.timing,
                        7,
                        process.incarnation << 32,
                        1 << 20));
        cluster.processes.put(4, controller);
        controller.start();
        cluster.run(cluster.now() + 2_000);
        final Response read = ask(4, i -> new NodeRequest.Operate(i, ControlRequestKind.CONFIGURATION, new byte[0]));
        assertEquals(read.status(), 200, read.toString());
        assertEquals(ask(4, NodeRequest.ReadinessProbe::new).status(), 200);
        assertEquals(((ControllerNode) controller.node).addresses().keySet(), java.util.Set.of(1, 2, 3));
        assertEquals(((ControllerNode) controller.node).group().role(), GroupMachine.FOLLOWER);
    }
}
