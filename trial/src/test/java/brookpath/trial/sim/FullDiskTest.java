package brookpath.trial.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Job;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.spec.Placement;
import brookpath.coordination.spec.Spec;
import java.util.List;
import org.testng.annotations.Test;

/** A disk that is full or hangs: the process lives on, leads no longer, loses nothing, and comes back by itself. */
public final class FullDiskTest {
    private static final long FULL_MS = 20_000;
    private static final int GROUPS = 4;
    private static final String TOPIC = "permits/t0";

    private World world;

    @Test
    public void aMasterWhoseDiskIsFullHandsOverAndComesBack() {
        masterInTrouble(31, (p, on) -> p.disk.full(on));
    }

    @Test
    public void aMasterWhoseDiskHangsHandsOverAndComesBack() {
        masterInTrouble(32, (p, on) -> p.syncMs = on ? FULL_MS : 2);
    }

    private interface Trouble {
        void set(Proc p, boolean on);
    }

    private void masterInTrouble(final long seed, final Trouble trouble) {
        world = World.serving(seed);
        world.callers.publisher("ana", TOPIC, "key-members", 200, 400);
        world.callers.subscriber("sub", "key-members", List.of(TOPIC));
        world.run(world.now() + 3_000);
        final int g = Placement.groupOf(TOPIC, new Spec.Space("permits", 30_000, false, 2), GROUPS);
        final Proc master = acting(g);
        final long life = master.life;
        trouble.set(master, true);
        world.run(world.now() + FULL_MS);
        assertTrue(master.alive && master.life == life, "the process ended");
        final Proc next = acting(g);
        assertNotNull(next, "no master while one disk is in trouble: " + world.notes());
        assertNotEquals(next.id, master.id, "a member without a disk still leads");
        trouble.set(master, false);
        world.run(world.now() + FULL_MS + 5_000);
        assertTrue(master.alive && master.life == life, "the process ended");
        final GroupMachine copy = ((StorageNode) master.node).group(g);
        assertEquals(copy.syncedLsn(), ((StorageNode) acting(g).node).group(g).syncedLsn());
        world.callers.quiet = true;
        world.run(world.now() + 20_000);
        world.history.settle(world.now());
        assertTrue(world.history.violations().isEmpty(), String.join("\n", world.history.violations()));
        assertTrue(world.history.accepted() > 80, world.counts.toString());
    }

    @Test
    public void aFullDiskOfAControlMemberStopsNoChange() {
        world = World.serving(33);
        final Proc master = controlMaster();
        final Proc full = world.procs.get(master.id == 1 ? 2 : 1);
        final long life = full.life;
        full.disk.full(true);
        for (int i = 0; i < 5; i++) {
            change(i + 1, "while-full-" + i);
        }
        assertTrue(full.alive && full.life == life, "the process ended");
        assertNotEquals(((ControllerNode) full.node).group().role(), GroupMachine.MASTER);
        full.disk.full(false);
        world.run(world.now() + 3_000);
        assertEquals(
                ((ControllerNode) full.node).group().syncedLsn(),
                ((ControllerNode) controlMaster().node).group().syncedLsn());
        assertTrue(world.history.violations().isEmpty(), String.join("\n", world.history.violations()));
    }

    @Test
    public void aMemberStartsOnAFullDisk() {
        world = World.serving(34);
        final Proc member = world.procs.get(controlMaster().id == 1 ? 2 : 1);
        member.disk.full(true);
        world.kill(member, false);
        world.run(world.now() + 500);
        world.restart(member);
        world.run(world.now() + 2_000);
        assertTrue(member.alive, "it would not start");
        change(1, "with-one-full");
        member.disk.full(false);
        world.run(world.now() + 3_000);
        assertEquals(
                ((ControllerNode) member.node).group().syncedLsn(),
                ((ControllerNode) controlMaster().node).group().syncedLsn());
    }

    @Test
    public void whatWaitsForAFullDiskIsBoundedAndRefusedAtOnce() {
        world = World.serving(35);
        for (final int id : world.storages) {
            // why: where all disks are full there is nobody to hand over to
            world.procs.get(id).disk.full(true);
        }
        final String large = "y".repeat(30_000);
        final Response[] last = new Response[1];
        for (int i = 0; i < 300; i++) {
            final int seq = i + 1;
            final int front = 31 + i % 3;
            world.callers.asked(
                    world.procs.get(front),
                    id -> new Job.Publish(id, "key-members", TOPIC, "big", seq, large),
                    r -> last[0] = r);
            world.run(world.now() + 50);
        }
        final int g = Placement.groupOf(TOPIC, new Spec.Space("permits", 30_000, false, 2), GROUPS);
        for (final int id : world.storages) {
            final Proc p = world.procs.get(id);
            assertTrue(p.alive, "the process ended");
            final GroupMachine group = ((StorageNode) p.node).group(g);
            final long unsynced = group == null ? 0 : group.endLsn() - group.syncedLsn();
            assertTrue(unsynced * large.length() < 2 << 20, unsynced + " records wait");
        }
        assertNotNull(last[0]);
        assertFalse(last[0].status() == 200, last[0].toString());
    }

    private void change(final long basedOn, final String changeId) {
        final Response[] got = new Response[1];
        world.callers.operators.change(
                world.callers.operators.document(basedOn, changeId, true), changeId, r -> got[0] = r);
        for (int i = 0; i < 1_000 && got[0] == null; i++) {
            world.run(world.now() + 10);
        }
        assertNotNull(got[0], "no response within 10 s: " + world.notes());
        assertEquals(got[0].status(), 200, got[0].toString());
    }

    private Proc acting(final int g) {
        return world.storages.stream()
                .map(world.procs::get)
                .filter(p -> p.alive && p.node instanceof StorageNode s && s.group(g) != null)
                .filter(p -> ((StorageNode) p.node).group(g).mayAct(p.mono()))
                .findFirst()
                .orElse(null);
    }

    private Proc controlMaster() {
        return world.controllers.stream()
                .map(world.procs::get)
                .filter(p -> p.alive && ((ControllerNode) p.node).group().mayAct(p.mono()))
                .findFirst()
                .orElseThrow();
    }
}
