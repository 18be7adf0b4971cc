package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.control.GroupBootstrap;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * The control state keeps what is committed however much follows it, and stays small however many changes there were.
 */
public final class ControlStateSizeTest {
    private static final int CHANGES_BEYOND_ANY_BOUND = 40;
    private static final int MANY_CHANGES = 2_000;
    private static final int DOCUMENT_BYTES = 100 << 10;
    /** One committed document, those not yet committed, the log kept for followers that lag, and the outcomes. */
    private static final int MAX_SNAPSHOT_BYTES = 3 << 20;

    private static final int MAX_LOG_BYTES = 2 << 20;

    @Test
    public void theCommittedVersionStaysThoughManyNewerOnesWaitForCopies() {
        final SimulatedCluster world = SimulatedCluster.serving(11);
        final SimulatedProcess leader = controlLeader(world);
        final long committed = committedVersion(leader);
        assertTrue(committed > 0);
        for (final int id : world.controllers) {
            if (id != leader.id) {
                // why: the followers answer heartbeats, so the leader leads on, but nothing that it appends reaches a
                // disk
                // there
                world.processes.get(id).syncMs = 1_000_000;
            }
        }
        final List<Response> responses = new ArrayList<>();
        for (int i = 0; i < CHANGES_BEYOND_ANY_BOUND; i++) {
            final String doc = world.callers.operators.document(committed + i, "waits-" + i, true);
            world.callers.asked(
                    leader, id -> new NodeRequest.Operate(id, "change", doc.getBytes(UTF_8)), responses::add);
            world.run(world.now() + 20);
            assertEquals(committedVersion(leader), committed, "after " + (i + 1) + " changes that are not accepted");
            assertTrue(committedMetadataVersion(leader) > 0, "no cluster metadata after " + (i + 1) + " changes");
        }
        assertTrue(
                responses.stream().anyMatch(r -> r.status() == 503 && r.retryAfterMs() > 0),
                "none was refused at once for the many that wait: " + responses);
        for (final int id : world.controllers) {
            world.processes.get(id).syncMs = 2;
        }
    }

    @Test
    public void thousandsOfLargeChangesLeaveASmallLogAndASmallSnapshot() {
        final ControllerNode node = alone();
        long mono = 0;
        for (int i = 0; i < 400; i++) {
            mono += 10;
            obey(node, node.tick(time(mono), HeartbeatTable.EMPTY), mono);
        }
        assertEquals(node.group().role(), GroupMachine.LEADER, node.group().obstacle());
        int largest = 0;
        for (int i = 0; i < MANY_CHANGES; i++) {
            mono += 25;
            final byte[] doc = document(i);
            obey(node, node.request(new NodeRequest.Operate(i + 1, "change", doc), time(mono)), mono);
            obey(node, node.tick(time(mono + 20), HeartbeatTable.EMPTY), mono + 20);
            largest = Math.max(largest, logBytes(node.group()));
        }
        final ControlState state = (ControlState) node.group().live();
        assertEquals(state.configurationAt(node.group().committed()).version(), MANY_CHANGES);
        assertTrue(largest <= MAX_LOG_BYTES, "the log in memory grew to " + largest + " bytes");
        final int snapshot =
                node.group().checkpoint().stream().mapToInt(e -> e.length).sum();
        assertTrue(snapshot <= MAX_SNAPSHOT_BYTES, "the snapshot has " + snapshot + " bytes");
        System.out.println(
                "after " + MANY_CHANGES + " changes: log at most " + largest + " bytes, snapshot " + snapshot);
    }

    private static byte[] document(final int basedOn) {
        final String head = "{\"basedOn\":" + basedOn + ",\"changeId\":\"c" + basedOn
                + "\",\"spaces\":[],\"tenants\":[],\"annotation\":\"";
        return (head + "x".repeat(DOCUMENT_BYTES) + "\"}").getBytes(UTF_8);
    }

    private static ControllerNode alone() {
        final ControllerNode node = new ControllerNode(
                1,
                List.of(new Member(1, 50, "")),
                new GroupBootstrap(1, 1, 1, 0),
                TimingBounds.DEFAULT,
                1,
                0,
                Long.MAX_VALUE);
        obey(node, node.start(true, time(0)), 0);
        return node;
    }

    /** A disk that syncs at once. */
    private static void obey(final ControllerNode node, final List<Action> actions, final long mono) {
        for (final Action action : actions) {
            if (action instanceof Action.Write w) {
                obey(node, node.synced(w.number(), time(mono)), mono);
            }
        }
    }

    private static Time time(final long mono) {
        return new Time(mono, SimulatedCluster.WALL + mono);
    }

    private static int logBytes(final GroupMachine group) {
        int bytes = 0;
        for (long index = group.baseIndex() + 1; index <= group.endIndex(); index++) {
            bytes += group.logRecord(index).bytes().length;
        }
        return bytes;
    }

    private static SimulatedProcess controlLeader(final SimulatedCluster world) {
        return world.controllers.stream()
                .map(world.processes::get)
                .filter(p -> p.alive && ((ControllerNode) p.node).group().mayAct(p.mono()))
                .findFirst()
                .orElseThrow();
    }

    private static long committedVersion(final SimulatedProcess p) {
        final GroupMachine group = ((ControllerNode) p.node).group();
        return ((ControlState) group.live()).configurationAt(group.committed()).version();
    }

    private static long committedMetadataVersion(final SimulatedProcess p) {
        final GroupMachine group = ((ControllerNode) p.node).group();
        return ((ControlState) group.live()).metadataAt(group.committed()).version();
    }
}
