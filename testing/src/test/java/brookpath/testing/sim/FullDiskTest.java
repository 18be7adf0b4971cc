package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.placement.Placement;
import java.util.List;
import org.testng.annotations.Test;

/** A disk that is full or hangs: the process lives on, leads no longer, loses nothing, and comes back by itself. */
public final class FullDiskTest {
    private static final long FULL_MS = 20_000;
    private static final int GROUPS = 4;
    private static final String TOPIC = "permits/t0";

    private SimulatedCluster world;

    @Test
    public void aLeaderWhoseDiskIsFullHandsOverAndComesBack() {
        leaderInTrouble(31, (p, on) -> p.disk.full(on));
    }

    @Test
    public void aLeaderWhoseDiskHangsHandsOverAndComesBack() {
        leaderInTrouble(32, (p, on) -> p.syncMs = on ? FULL_MS : 2);
    }

    private interface Trouble {
        void set(SimulatedProcess p, boolean on);
    }

    private void leaderInTrouble(final long seed, final Trouble trouble) {
        world = SimulatedCluster.serving(seed);
        world.callers.publisher("ana", TOPIC, "key-members", 200, 400);
        world.callers.subscriber("sub", "key-members", List.of(TOPIC));
        world.run(world.now() + 3_000);
        final int g = Placement.groupOf(TOPIC, new Configuration.Space("permits", 30_000, false, 2), GROUPS);
        final SimulatedProcess leader = acting(g);
        final long life = leader.life;
        trouble.set(leader, true);
        world.run(world.now() + FULL_MS);
        assertTrue(leader.alive && leader.life == life, "the process ended");
        final SimulatedProcess next = acting(g);
        assertNotNull(next, "no master while one disk is in trouble: " + world.notes());
        assertNotEquals(next.id, leader.id, "a member without a disk still leads");
        trouble.set(leader, false);
        world.run(world.now() + FULL_MS + 5_000);
        assertTrue(leader.alive && leader.life == life, "the process ended");
        final GroupMachine copy = ((StorageNode) leader.node).group(g);
        assertEquals(copy.syncedIndex(), ((StorageNode) acting(g).node).group(g).syncedIndex());
        world.callers.quiet = true;
        world.run(world.now() + 20_000);
        world.history.settle(world.now());
        assertTrue(world.history.violations().isEmpty(), String.join("\n", world.history.violations()));
        assertTrue(world.history.committed() > 80, world.counts.toString());
    }

    @Test
    public void aFullDiskOfAControlMemberStopsNoChange() {
        world = SimulatedCluster.serving(33);
        final SimulatedProcess leader = controlLeader();
        final SimulatedProcess full = world.processes.get(leader.id == 1 ? 2 : 1);
        final long life = full.life;
        full.disk.full(true);
        for (int i = 0; i < 5; i++) {
            change(i + 1, "while-full-" + i);
        }
        assertTrue(full.alive && full.life == life, "the process ended");
        assertNotEquals(((ControllerNode) full.node).group().role(), GroupMachine.LEADER);
        full.disk.full(false);
        world.run(world.now() + 3_000);
        assertEquals(
                ((ControllerNode) full.node).group().syncedIndex(),
                ((ControllerNode) controlLeader().node).group().syncedIndex());
        assertTrue(world.history.violations().isEmpty(), String.join("\n", world.history.violations()));
    }

    @Test
    public void aMemberStartsOnAFullDisk() {
        world = SimulatedCluster.serving(34);
        final SimulatedProcess member = world.processes.get(controlLeader().id == 1 ? 2 : 1);
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
                ((ControllerNode) member.node).group().syncedIndex(),
                ((ControllerNode) controlLeader().node).group().syncedIndex());
    }

    @Test
    public void whatWaitsForAFullDiskIsBoundedAndRefusedAtOnce() {
        world = SimulatedCluster.serving(35);
        for (final int id : world.storages) {
            // why: where all disks are full there is nobody to hand over to
            world.processes.get(id).disk.full(true);
        }
        final String large = "y".repeat(30_000);
        final Response[] last = new Response[1];
        for (int i = 0; i < 300; i++) {
            final int seq = i + 1;
            final int gateway = 31 + i % 3;
            world.callers.asked(
                    world.processes.get(gateway),
                    id -> new NodeRequest.Publish(id, "key-members", TOPIC, "big", seq, large),
                    r -> last[0] = r);
            world.run(world.now() + 50);
        }
        final int g = Placement.groupOf(TOPIC, new Configuration.Space("permits", 30_000, false, 2), GROUPS);
        for (final int id : world.storages) {
            final SimulatedProcess p = world.processes.get(id);
            assertTrue(p.alive, "the process ended");
            final GroupMachine group = ((StorageNode) p.node).group(g);
            final long unsynced = group == null ? 0 : group.endIndex() - group.syncedIndex();
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

    private SimulatedProcess acting(final int g) {
        return world.storages.stream()
                .map(world.processes::get)
                .filter(p -> p.alive && p.node instanceof StorageNode s && s.group(g) != null)
                .filter(p -> ((StorageNode) p.node).group(g).mayAct(p.mono()))
                .findFirst()
                .orElse(null);
    }

    private SimulatedProcess controlLeader() {
        return world.controllers.stream()
                .map(world.processes::get)
                .filter(p -> p.alive && ((ControllerNode) p.node).group().mayAct(p.mono()))
                .findFirst()
                .orElseThrow();
    }
}
