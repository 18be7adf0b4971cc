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

/**
 * A disk that is full or hangs must not end the process: the process transfers its leaderships, loses no committed
 * record, and recovers once the disk does.
 */
public final class FullDiskTest {
    private static final long FULL_MS = 20_000;
    private static final int GROUPS = 4;
    private static final String TOPIC = "permits/t0";

    private SimulatedCluster cluster;

    @Test
    public void aLeaderWhoseDiskIsFullHandsOverAndComesBack() {
        leaderWithFaultyDisk(31, (p, on) -> p.disk.full(on));
    }

    @Test
    public void aLeaderWhoseDiskHangsHandsOverAndComesBack() {
        leaderWithFaultyDisk(32, (p, on) -> p.syncMs = on ? FULL_MS : 2);
    }

    private interface DiskFault {
        void set(SimulatedProcess p, boolean on);
    }

    private void leaderWithFaultyDisk(final long seed, final DiskFault fault) {
        cluster = ServingCluster.start(seed);
        cluster.callers.publisher("ana", TOPIC, "key-members", 200, 400);
        cluster.callers.subscriber("sub", "key-members", List.of(TOPIC));
        cluster.run(cluster.now() + 3_000);
        final int g = Placement.groupOf(TOPIC, new Configuration.Space("permits", 30_000, false, 2), GROUPS);
        final SimulatedProcess leader = actingLeader(g);
        final long incarnation = leader.incarnation;
        fault.set(leader, true);
        cluster.run(cluster.now() + FULL_MS);
        assertTrue(leader.alive && leader.incarnation == incarnation, "the process ended");
        final SimulatedProcess successor = actingLeader(g);
        assertNotNull(successor, "no leader while one disk is faulty: " + cluster.notes());
        assertNotEquals(successor.id, leader.id, "the member with the faulty disk still leads");
        fault.set(leader, false);
        cluster.run(cluster.now() + FULL_MS + 5_000);
        assertTrue(leader.alive && leader.incarnation == incarnation, "the process ended");
        final GroupMachine replica = ((StorageNode) leader.node).group(g);
        assertEquals(
                replica.syncedIndex(),
                ((StorageNode) actingLeader(g).node).group(g).syncedIndex());
        cluster.callers.quiet = true;
        cluster.run(cluster.now() + 20_000);
        cluster.history.settle(cluster.now());
        assertTrue(cluster.history.violations().isEmpty(), String.join("\n", cluster.history.violations()));
        assertTrue(cluster.history.committed() > 80, cluster.counts.toString());
    }

    @Test
    public void aFullDiskOfAControlMemberStopsNoChange() {
        cluster = ServingCluster.start(33);
        final SimulatedProcess leader = controlLeader();
        final SimulatedProcess member = cluster.processes.get(leader.id == 1 ? 2 : 1);
        final long incarnation = member.incarnation;
        member.disk.full(true);
        for (int i = 0; i < 5; i++) {
            change(i + 1, "while-full-" + i);
        }
        assertTrue(member.alive && member.incarnation == incarnation, "the process ended");
        assertNotEquals(((ControllerNode) member.node).group().role(), GroupMachine.LEADER);
        member.disk.full(false);
        cluster.run(cluster.now() + 3_000);
        assertEquals(
                ((ControllerNode) member.node).group().syncedIndex(),
                ((ControllerNode) controlLeader().node).group().syncedIndex());
        assertTrue(cluster.history.violations().isEmpty(), String.join("\n", cluster.history.violations()));
    }

    @Test
    public void aMemberStartsOnAFullDisk() {
        cluster = ServingCluster.start(34);
        final SimulatedProcess member = cluster.processes.get(controlLeader().id == 1 ? 2 : 1);
        member.disk.full(true);
        cluster.kill(member, false);
        cluster.run(cluster.now() + 500);
        cluster.restart(member);
        cluster.run(cluster.now() + 2_000);
        assertTrue(member.alive, "the member did not start");
        change(1, "with-one-full");
        member.disk.full(false);
        cluster.run(cluster.now() + 3_000);
        assertEquals(
                ((ControllerNode) member.node).group().syncedIndex(),
                ((ControllerNode) controlLeader().node).group().syncedIndex());
    }

    @Test
    public void whatWaitsForAFullDiskIsBoundedAndRefusedAtOnce() {
        cluster = ServingCluster.start(35);
        for (final int id : cluster.storages) {
            // With all disks full there is no member to transfer the leadership to
            cluster.processes.get(id).disk.full(true);
        }
        final String large = "y".repeat(30_000);
        final Response[] last = new Response[1];
        for (int i = 0; i < 300; i++) {
            final int seq = i + 1;
            final int gateway = 31 + i % 3;
            cluster.callers.ask(
                    cluster.processes.get(gateway),
                    id -> new NodeRequest.Publish(id, "key-members", TOPIC, "big", seq, large),
                    r -> last[0] = r);
            cluster.run(cluster.now() + 50);
        }
        final int g = Placement.groupOf(TOPIC, new Configuration.Space("permits", 30_000, false, 2), GROUPS);
        for (final int id : cluster.storages) {
            final SimulatedProcess p = cluster.processes.get(id);
            assertTrue(p.alive, "the process ended");
            final GroupMachine group = ((StorageNode) p.node).group(g);
            final long unsynced = group == null ? 0 : group.endIndex() - group.syncedIndex();
            assertTrue(unsynced * large.length() < 2 << 20, unsynced + " records are not synced");
        }
        assertNotNull(last[0]);
        assertFalse(last[0].status() == 200, last[0].toString());
    }

    private void change(final long basedOn, final String changeId) {
        final Response[] got = new Response[1];
        cluster.callers.operators.change(
                cluster.callers.operators.document(basedOn, changeId, true), changeId, r -> got[0] = r);
        for (int i = 0; i < 1_000 && got[0] == null; i++) {
            cluster.run(cluster.now() + 10);
        }
        assertNotNull(got[0], "no response within 10 s: " + cluster.notes());
        assertEquals(got[0].status(), 200, got[0].toString());
    }

    private SimulatedProcess actingLeader(final int g) {
        return cluster.storages.stream()
                .map(cluster.processes::get)
                .filter(p -> p.alive && p.node instanceof StorageNode s && s.group(g) != null)
                .filter(p -> ((StorageNode) p.node).group(g).mayAct(p.mono()))
                .findFirst()
                .orElse(null);
    }

    private SimulatedProcess controlLeader() {
        return cluster.controllers.stream()
                .map(cluster.processes::get)
                .filter(p -> p.alive && ((ControllerNode) p.node).group().mayAct(p.mono()))
                .findFirst()
                .orElseThrow();
    }
}
