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
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.control.GroupBootstrap;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * The control state keeps the committed versions however many uncommitted ones follow, and stays small after any number
 * of changes.
 */
public final class ControlStateSizeTest {
    private static final int CHANGES_BEYOND_THE_BOUND = 40;
    private static final int MANY_CHANGES = 2_000;
    private static final int DOCUMENT_BYTES = 100 << 10;
    /** One committed document, the uncommitted ones, the log kept for lagging followers, and the outcomes. */
    private static final int MAX_SNAPSHOT_BYTES = 3 << 20;

    private static final int MAX_LOG_BYTES = 2 << 20;

    @Test
    public void committedVersionIsKeptWhileManyNewerOnesAwaitReplication() {
        final SimulatedCluster cluster = ServingCluster.start(11);
        final SimulatedProcess leader = controlLeader(cluster);
        final long committed = committedVersion(leader);
        assertTrue(committed > 0);
        for (final int id : cluster.controllers) {
            if (id != leader.id) {
                // The followers answer heartbeats, so the leader keeps its leadership, but nothing that it appends
                // reaches their disks
                cluster.processes.get(id).syncMs = 1_000_000;
            }
        }
        final List<Response> responses = new ArrayList<>();
        for (int i = 0; i < CHANGES_BEYOND_THE_BOUND; i++) {
            final String doc = cluster.callers.operators.document(committed + i, "waits-" + i, true);
            cluster.callers.ask(
                    leader,
                    id -> new NodeRequest.Operate(id, ControlRequestKind.CHANGE, doc.getBytes(UTF_8)),
                    responses::add);
            cluster.run(cluster.now() + 20);
            assertEquals(committedVersion(leader), committed, "after " + (i + 1) + " changes that are not committed");
            assertTrue(committedMetadataVersion(leader) > 0, "no cluster metadata after " + (i + 1) + " changes");
        }
        assertTrue(
                responses.stream().anyMatch(r -> r.status() == 503 && r.retryAfterMs() > 0),
                "none was refused at once because of the uncommitted ones: " + responses);
        for (final int id : cluster.controllers) {
            cluster.processes.get(id).syncMs = 2;
        }
    }

    @Test
    public void logAndSnapshotStaySmallAfterThousandsOfLargeChanges() {
        final ControllerNode node = startAlone();
        long mono = 0;
        for (int i = 0; i < 400; i++) {
            mono += 10;
            execute(node, node.tick(time(mono), HeartbeatTable.EMPTY), mono);
        }
        assertEquals(node.group().role(), GroupMachine.LEADER, node.group().obstacle());
        int largest = 0;
        for (int i = 0; i < MANY_CHANGES; i++) {
            mono += 25;
            final byte[] doc = document(i);
            execute(
                    node,
                    node.request(new NodeRequest.Operate(i + 1, ControlRequestKind.CHANGE, doc), time(mono)),
                    mono);
            execute(node, node.tick(time(mono + 20), HeartbeatTable.EMPTY), mono + 20);
            largest = Math.max(largest, logBytes(node.group()));
        }
        final ControlState state = (ControlState) node.group().live();
        assertEquals(state.configurationAt(node.group().committed()).version(), MANY_CHANGES);
        assertTrue(largest <= MAX_LOG_BYTES, "the log in memory grew to " + largest + " bytes");
        final int snapshot = node.group().checkpoint(mono).stream()
                .mapToInt(e -> (int) e.sizeBytes())
                .sum();
        assertTrue(snapshot <= MAX_SNAPSHOT_BYTES, "the snapshot has " + snapshot + " bytes");
        System.out.println(
                "after " + MANY_CHANGES + " changes: log at most " + largest + " bytes, snapshot " + snapshot);
    }

    private static byte[] document(final int basedOn) {
        final String head = "{\"basedOn\":" + basedOn + ",\"changeId\":\"c" + basedOn
                + "\",\"spaces\":[],\"tenants\":[],\"annotation\":\"";
        return (head + "x".repeat(DOCUMENT_BYTES) + "\"}").getBytes(UTF_8);
    }

    private static ControllerNode startAlone() {
        final ControllerNode node = new ControllerNode(
                1,
                List.of(new Member(1, 50, "")),
                new GroupBootstrap(1, 1, 1, 0),
                TimingBounds.DEFAULT,
                1,
                0,
                Long.MAX_VALUE);
        execute(node, node.start(true, time(0)), 0);
        return node;
    }

    /** Performs the writes among the actions, with a disk that syncs at once. */
    private static void execute(final ControllerNode node, final List<Action> actions, final long mono) {
        for (final Action action : actions) {
            if (action instanceof Action.Write w) {
                execute(node, node.synced(w.number(), time(mono)), mono);
            }
        }
    }

    private static Time time(final long mono) {
        return new Time(mono, SimulatedCluster.WALL_CLOCK_START_MS + mono);
    }

    private static int logBytes(final GroupMachine group) {
        int bytes = 0;
        for (long index = group.baseIndex() + 1; index <= group.endIndex(); index++) {
            bytes += group.logRecord(index).bytes().length;
        }
        return bytes;
    }

    private static SimulatedProcess controlLeader(final SimulatedCluster cluster) {
        return cluster.controllers.stream()
                .map(cluster.processes::get)
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
