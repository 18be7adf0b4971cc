package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.message.Response;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import org.testng.annotations.Test;

/** A machine is told from the one that had its address, and its node number, before. */
public final class AddressReuseTest {
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;

    private SimulatedCluster world;

    private ControllerNode controlLeader() {
        return world.controllers.stream()
                .map(id -> world.processes.get(id))
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
        world.callers.asked(world.processes.get(1), id -> new NodeRequest.Operate(id, kind, body), r -> got[0] = r);
        for (int i = 0; i < 400 && got[0] == null; i++) {
            world.run(world.now() + 10);
        }
        assertNotNull(got[0], "no response within 4 s");
        return got[0];
    }

    private long groupsOf(final int node) {
        return metadata().groups().stream()
                .filter(g -> g.membership().holds(node))
                .count();
    }

    /** Empties a storage machine, and says which. */
    private SimulatedProcess emptied(final long seed) {
        world = SimulatedCluster.serving(seed);
        final SimulatedProcess leaving = world.processes.get(world.storages.get(0));
        final byte[] order = PackedBuffer.writer().num(leaving.id).num(1).done();
        assertEquals(operate("retire", order).status(), ACCEPTED);
        for (int i = 0;
                i < 300 && (groupsOf(leaving.id) > 0 || metadata().retiring().isEmpty());
                i++) {
            world.run(world.now() + 100);
        }
        assertEquals(groupsOf(leaving.id), 0);
        assertEquals(metadata().retiring(), List.of(leaving.id));
        return leaving;
    }

    private String name(final SimulatedProcess p) {
        return metadata().node(p.id).name();
    }

    @Test
    public void aNewMachineAtAnEmptiedOnesAddressIsNotLeaving() {
        final SimulatedProcess process = emptied(71);
        final Response before = operate("retired", name(process).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertTrue(before.json().contains("\"empty\":true"), before.toString());
        final long former = metadata().node(process.id).machine();
        world.kill(process, true);
        process.disk.wipe();
        world.run(world.now() + 4_000);
        assertEquals(metadata().retiring(), List.of(process.id), "gone is not replaced");
        process.name = "another-machine";
        world.restart(process);
        world.run(world.now() + 4_000);
        assertNotEquals(metadata().node(process.id).machine(), former);
        assertEquals(metadata().retiring(), List.of(), "the new machine is taken for the one that left");
        final Response after = operate("retired", name(process).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertEquals(after.status(), NOT_FOUND, "the new machine is reported as emptied: " + after);
        assertTrue(((StorageNode) process.node).client().leased(process.mono()));
    }

    @Test
    public void aMachineThatLostItsDiskIsStillLeaving() {
        final SimulatedProcess process = emptied(74);
        final long former = metadata().node(process.id).machine();
        world.kill(process, true);
        process.disk.wipe();
        world.run(world.now() + 1_000);
        world.restart(process);
        world.run(world.now() + 4_000);
        assertNotEquals(metadata().node(process.id).machine(), former);
        assertEquals(metadata().retiring(), List.of(process.id), "the order is forgotten with the disk");
        final Response again = operate("retireNamed", name(process).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertEquals(again.status(), ACCEPTED, "a repeat is refused: " + again);
    }

    @Test
    public void aMachineThatOnlyRestartsIsStillLeaving() {
        final SimulatedProcess process = emptied(72);
        final long machine = metadata().node(process.id).machine();
        world.kill(process, true);
        world.run(world.now() + 1_000);
        world.restart(process);
        world.run(world.now() + 4_000);
        assertEquals(metadata().node(process.id).machine(), machine);
        assertEquals(metadata().retiring(), List.of(process.id));
        assertFalse(metadata().nodes().isEmpty());
    }

    @Test
    public void aRepeatedRestartChangesNoMetadata() {
        world = SimulatedCluster.serving(73);
        final long version = metadata().version();
        final SimulatedProcess process = world.processes.get(world.storages.get(1));
        for (int i = 0; i < 3; i++) {
            world.kill(process, false);
            world.run(world.now() + 500);
            world.restart(process);
            world.run(world.now() + 3_000);
        }
        assertEquals(metadata().version(), version);
    }
}
