package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.Response;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import org.testng.annotations.Test;

/** A machine is distinguished from the one that had its address and node number before. */
public final class AddressReuseTest {
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;

    private SimulatedCluster cluster;

    private ControllerNode controlLeader() {
        return cluster.controllers.stream()
                .map(id -> cluster.processes.get(id))
                .filter(p -> p.alive && ((ControllerNode) p.node).group().mayAct(p.mono()))
                .map(p -> (ControllerNode) p.node)
                .findFirst()
                .orElseThrow();
    }

    private ClusterMetadata metadata() {
        final ControllerNode leader = controlLeader();
        return ((ControlState) leader.group().live()).metadataAt(leader.group().committed());
    }

    private Response operate(final String kind, final byte[] body) {
        final Response[] got = new Response[1];
        cluster.callers.ask(
                cluster.processes.get(1),
                id -> new NodeRequest.Operate(id, ControlRequestKind.of(kind), body),
                r -> got[0] = r);
        for (int i = 0; i < 400 && got[0] == null; i++) {
            cluster.run(cluster.now() + 10);
        }
        assertNotNull(got[0], "no response within 4 s");
        return got[0];
    }

    private long groupsOf(final int node) {
        return metadata().groups().stream()
                .filter(g -> g.membership().holds(node))
                .count();
    }

    /** Starts a cluster, retires a storage node and returns it once it has no replicas. */
    private SimulatedProcess retireAndEmpty(final long seed) {
        cluster = ServingCluster.start(seed);
        final SimulatedProcess leaving = cluster.processes.get(cluster.storages.get(0));
        final byte[] order =
                PackedBuffer.writer().putLong(leaving.id).putLong(1).toByteArray();
        assertEquals(operate("retire", order).status(), ACCEPTED);
        for (int i = 0;
                i < 300 && (groupsOf(leaving.id) > 0 || metadata().retiring().isEmpty());
                i++) {
            cluster.run(cluster.now() + 100);
        }
        assertEquals(groupsOf(leaving.id), 0);
        assertEquals(metadata().retiring(), List.of(leaving.id));
        return leaving;
    }

    private String name(final SimulatedProcess p) {
        return metadata().node(p.id).name();
    }

    @Test
    public void newMachineAtTheAddressOfARetiredOneIsNotRetiring() {
        final SimulatedProcess process = retireAndEmpty(71);
        final Response before = operate("retired", name(process).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertTrue(before.json().contains("\"empty\":true"), before.toString());
        final long former = metadata().node(process.id).machine();
        cluster.kill(process, true);
        process.disk.wipe();
        cluster.run(cluster.now() + 4_000);
        assertEquals(metadata().retiring(), List.of(process.id), "a node that is merely silent is no longer retiring");
        process.name = "another-machine";
        cluster.restart(process);
        cluster.run(cluster.now() + 4_000);
        assertNotEquals(metadata().node(process.id).machine(), former);
        assertEquals(metadata().retiring(), List.of(), "the new machine is taken for the retired one");
        final Response after = operate("retired", name(process).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertEquals(after.status(), NOT_FOUND, "the new machine is reported as emptied: " + after);
        assertTrue(((StorageNode) process.node).client().leased(process.mono()));
    }

    @Test
    public void machineThatLostItsDiskIsStillRetiring() {
        final SimulatedProcess process = retireAndEmpty(74);
        final long former = metadata().node(process.id).machine();
        cluster.kill(process, true);
        process.disk.wipe();
        cluster.run(cluster.now() + 1_000);
        cluster.restart(process);
        cluster.run(cluster.now() + 4_000);
        assertNotEquals(metadata().node(process.id).machine(), former);
        assertEquals(metadata().retiring(), List.of(process.id), "the retirement was lost with the disk");
        final Response again = operate("retireNamed", name(process).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertEquals(again.status(), ACCEPTED, "a repeat is refused: " + again);
    }

    @Test
    public void machineThatRestartsIsStillRetiring() {
        final SimulatedProcess process = retireAndEmpty(72);
        final long machine = metadata().node(process.id).machine();
        cluster.kill(process, true);
        cluster.run(cluster.now() + 1_000);
        cluster.restart(process);
        cluster.run(cluster.now() + 4_000);
        assertEquals(metadata().node(process.id).machine(), machine);
        assertEquals(metadata().retiring(), List.of(process.id));
        assertFalse(metadata().nodes().isEmpty());
    }

    @Test
    public void restartsDoNotChangeTheMetadata() {
        cluster = ServingCluster.start(73);
        final long version = metadata().version();
        final SimulatedProcess process = cluster.processes.get(cluster.storages.get(1));
        for (int i = 0; i < 3; i++) {
            cluster.kill(process, false);
            cluster.run(cluster.now() + 500);
            cluster.restart(process);
            cluster.run(cluster.now() + 3_000);
        }
        assertEquals(metadata().version(), version);
    }
}
