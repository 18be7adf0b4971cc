package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage;
import brookpath.state.record.PackedBuffer;
import org.testng.annotations.Test;

/** A group changes its leader: in a partition, after a freeze of the leader, and on request. */
public final class LeaderElectionScenariosTest extends ClusterScenario {
    @Test
    public void oneWayPartitionOfTheLeaderElectsAnotherLeader() {
        begin(1);
        startCallers();
        final int g = groupOf("permits/t0");
        final SimulatedProcess leader = actingLeader(g);
        for (final int id : cluster.storages) {
            cluster.net.cut(id, leader.id);
        }
        final long gap = millisUntilOtherLeader(g, leader, 6_000);
        assertTrue(gap < cluster.timing.deliverMs(), "no other leader after " + gap + " ms: " + cluster.notes());
        cluster.net.heal();
        assertNoViolationsAfterQuiescence();
    }

    @Test
    public void frozenLeaderIsFencedByTheNextTerm() {
        begin(2);
        startCallers();
        final int g = groupOf("permits/t1");
        retireSpareMachine(g);
        final SimulatedProcess leader = actingLeader(g);
        final long term = group(leader, g).term();
        cluster.freeze(leader, 5_000);
        assertTrue(millisUntilOtherLeader(g, leader, 4_000) < cluster.timing.deliverMs());
        final SimulatedProcess next = actingLeader(g);
        cluster.run(cluster.now() + 6_000);
        assertTrue(group(next, g).term() > term);
        assertTrue(
                group(leader, g).term() > term && group(leader, g).role() == GroupMachine.FOLLOWER,
                group(leader, g).why());
        assertNoViolationsAfterQuiescence();
    }

    @Test
    public void requestedLeadershipTransferMovesTheLeader() {
        begin(30);
        startCallers();
        final int g = groupOf("permits/t0");
        final SimulatedProcess leader = actingLeader(g);
        final int to = followerOf(leader, g).id;
        for (int i = 0; i < 20 && actingLeader(g) != cluster.processes.get(to); i++) {
            sendOperatorRequest(
                    "handover",
                    PackedBuffer.writer().putLong(g).putLong(to).toByteArray(),
                    r -> assertEquals(r.status(), 202, r.toString()));
        }
        assertEquals(actingLeader(g), cluster.processes.get(to));
        assertEquals(group(leader, g).role(), GroupMachine.FOLLOWER);
        assertNoViolationsAfterQuiescence();
    }

    @Test
    public void leaderThatTransfersLeadershipStopsActingBeforeItsSuccessorStarts() {
        begin(50);
        startCallers();
        final int g = groupOf("permits/t0");
        final SimulatedProcess leader = actingLeader(g);
        final SimulatedProcess to = followerOf(leader, g);
        // the leader receives nothing any more, so only its own transfer can make it stop acting
        cluster.processes.keySet().forEach(id -> cluster.net.cut(id, leader.id));
        leader.run(p -> p.node.message(
                1,
                new PeerMessage.ControlRequest(
                        0,
                        "handover",
                        PackedBuffer.writer().putLong(g).putLong(to.id).toByteArray()),
                p.time()));
        assertTrue(
                millisUntilOtherLeader(g, leader, 300) < 300,
                "the requested follower did not become the leader within 300 ms");
        assertEquals(actingLeader(g), to);
        cluster.run(cluster.now() + 1_000);
        cluster.net.heal();
        assertNoViolationsAfterQuiescence();
    }
}
