package brookpath.trial.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Job;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.spec.ControlState;
import brookpath.coordination.spec.Roster;
import brookpath.state.record.Pack;
import java.util.List;
import org.testng.annotations.Test;

/** A machine is told from the one that had its address, and its node number, before. */
public final class AddressReuseTest {
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;

    private World world;

    private ControllerNode controlMaster() {
        return world.controllers.stream()
                .map(id -> world.procs.get(id))
                .filter(p -> p.alive && ((ControllerNode) p.node).group().mayAct(p.mono()))
                .map(p -> (ControllerNode) p.node)
                .findFirst()
                .orElseThrow();
    }

    private Roster roster() {
        final ControllerNode master = controlMaster();
        return ((ControlState) master.group().live()).rosterAt(master.group().accepted());
    }

    private Response operate(final String kind, final byte[] body) {
        final Response[] got = new Response[1];
        world.callers.asked(world.procs.get(1), id -> new Job.Operate(id, kind, body), r -> got[0] = r);
        for (int i = 0; i < 400 && got[0] == null; i++) {
            world.run(world.now() + 10);
        }
        assertNotNull(got[0], "no response within 4 s");
        return got[0];
    }

    private long groupsOf(final int node) {
        return roster().groups().stream()
                .filter(g -> g.membership().holds(node))
                .count();
    }

    /** Empties a storage machine, and says which. */
    private Proc emptied(final long seed) {
        world = World.serving(seed);
        final Proc leaving = world.procs.get(world.storages.get(0));
        final byte[] order = Pack.writer().num(leaving.id).num(1).done();
        assertEquals(operate("retire", order).status(), ACCEPTED);
        for (int i = 0;
                i < 300 && (groupsOf(leaving.id) > 0 || roster().retiring().isEmpty());
                i++) {
            world.run(world.now() + 100);
        }
        assertEquals(groupsOf(leaving.id), 0);
        assertEquals(roster().retiring(), List.of(leaving.id));
        return leaving;
    }

    private String name(final Proc p) {
        return roster().node(p.id).name();
    }

    @Test
    public void aNewMachineAtAnEmptiedOnesAddressIsNotLeaving() {
        final Proc proc = emptied(71);
        final Response before = operate("retired", name(proc).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertTrue(before.json().contains("\"empty\":true"), before.toString());
        final long former = roster().node(proc.id).machine();
        world.kill(proc, true);
        proc.disk.wipe();
        world.run(world.now() + 4_000);
        assertEquals(roster().retiring(), List.of(proc.id), "gone is not replaced");
        proc.name = "another-machine";
        world.restart(proc);
        world.run(world.now() + 4_000);
        assertNotEquals(roster().node(proc.id).machine(), former);
        assertEquals(roster().retiring(), List.of(), "the new machine is taken for the one that left");
        final Response after = operate("retired", name(proc).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertEquals(after.status(), NOT_FOUND, "the new machine is reported as emptied: " + after);
        assertTrue(((StorageNode) proc.node).client().leased(proc.mono()));
    }

    @Test
    public void aMachineThatLostItsDiskIsStillLeaving() {
        final Proc proc = emptied(74);
        final long former = roster().node(proc.id).machine();
        world.kill(proc, true);
        proc.disk.wipe();
        world.run(world.now() + 1_000);
        world.restart(proc);
        world.run(world.now() + 4_000);
        assertNotEquals(roster().node(proc.id).machine(), former);
        assertEquals(roster().retiring(), List.of(proc.id), "the order is forgotten with the disk");
        final Response again = operate("retireNamed", name(proc).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertEquals(again.status(), ACCEPTED, "a repeat is refused: " + again);
    }

    @Test
    public void aMachineThatOnlyRestartsIsStillLeaving() {
        final Proc proc = emptied(72);
        final long machine = roster().node(proc.id).machine();
        world.kill(proc, true);
        world.run(world.now() + 1_000);
        world.restart(proc);
        world.run(world.now() + 4_000);
        assertEquals(roster().node(proc.id).machine(), machine);
        assertEquals(roster().retiring(), List.of(proc.id));
        assertFalse(roster().nodes().isEmpty());
    }

    @Test
    public void aRepeatedRestartChangesNoMetadata() {
        world = World.serving(73);
        final long version = roster().version();
        final Proc proc = world.procs.get(world.storages.get(1));
        for (int i = 0; i < 3; i++) {
            world.kill(proc, false);
            world.run(world.now() + 500);
            world.restart(proc);
            world.run(world.now() + 3_000);
        }
        assertEquals(roster().version(), version);
    }
}
