package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.LogRecord;
import java.util.List;
import org.testng.annotations.Test;

/** A replica that is lost, damaged, divergent or too far behind neither counts nor serves until it is rebuilt. */
public final class ReplicaLossScenariosTest extends ClusterScenario {
    @Test
    public void memberThatLostItsDiskDoesNotVoteUntilItIsRebuilt() {
        begin(7);
        startCallers();
        final int g = groupOf("permits/t2");
        retireSpareMachine(g);
        final SimulatedProcess leader = actingLeader(g);
        final SimulatedProcess follower = followerOf(leader, g);
        cluster.kill(follower, true);
        follower.disk.wipe();
        cluster.run(cluster.now() + 2_000);
        for (final int id : cluster.storages) {
            cluster.net.cut(follower.id, id);
        }
        cluster.restart(follower);
        cluster.run(cluster.now() + 3_000);
        assertTrue(group(follower, g).lost(), "an empty data directory was mistaken for a first start");
        cluster.net.heal();
        cluster.run(cluster.now() + 3_000);
        assertFalse(group(follower, g).lost());
        assertTrue(group(follower, g).syncedIndex() >= group(actingLeader(g), g).baseIndex()
                && group(follower, g).committed() > 0);
        assertNoViolationsAfterQuiescence();
    }

    @Test
    public void memberBehindTheRetainedLogIsRebuiltFromASnapshot() {
        begin(31);
        for (int i = 0; i < 9; i++) {
            cluster.callers.publisher("ana", "permits/t" + i, "key-members", 60, 40);
        }
        cluster.callers.subscriber("sub", "key-members", List.of("permits/t0", "permits/t1"));
        cluster.run(cluster.now() + 2_000);
        final int g = groupOf("permits/t0");
        retireSpareMachine(g);
        final SimulatedProcess leader = actingLeader(g);
        final SimulatedProcess follower = followerOf(leader, g);
        cluster.kill(follower, true);
        cluster.run(cluster.now() + 70_000);
        assertTrue(group(actingLeader(g), g).baseIndex() > 0, "nothing was trimmed");
        cluster.restart(follower);
        cluster.run(cluster.now() + 3_000);
        assertTrue(cluster.counted("full syncs") > 0);
        final SimulatedProcess third = cluster.processes.get(group(follower, g).members().stream()
                .map(m -> m.node())
                .filter(n -> n != follower.id && cluster.processes.get(n) != actingLeader(g))
                .findFirst()
                .orElseThrow());
        // the rebuilt replica has to serve now, with the sequence numbers that its snapshot contained
        cluster.callers.quiet = true;
        cluster.run(cluster.now() + 3_000);
        cluster.kill(actingLeader(g), true);
        cluster.run(cluster.now() + 3_000);
        assertNotNull(actingLeader(g));
        cluster.kill(third, true);
        cluster.restart(third);
        cluster.run(cluster.now() + 3_000);
        for (final SimulatedProcess p : List.of(follower, third)) {
            assertTrue(
                    ((TopicState) group(p, g).live()).lookUp("permits/t0", "ana", 1) == -1,
                    "sequence numbers are lost");
        }
        assertNoViolationsAfterQuiescence();
    }

    @Test
    public void damagedRecordIsNeverServedAndItsReplicaIsRepaired() {
        for (final boolean leader : new boolean[] {true, false}) {
            begin(70);
            startCallers();
            final int g = groupOf("permits/t0");
            final SimulatedProcess target = leader ? actingLeader(g) : followerOf(actingLeader(g), g);
            final GroupMachine m = group(target, g);
            corrupt(m, m.committed() - 1);
            cluster.callers.subscriber("late", "key-members", List.of("permits/t0"));
            cluster.run(cluster.now() + 4_000);
            assertFalse(m.lost(), m.why());
            for (long index = m.baseIndex() + 1; index <= m.committed(); index++) {
                assertTrue(m.logRecord(index).isIntact(), "record " + index + " is still damaged");
            }
            assertTrue(cluster.counted("full syncs") > 0
                    && cluster.notes().toString().contains("the replica is being repaired"));
            assertNoViolationsAfterQuiescence();
        }
    }

    @Test
    public void divergentReplicaIsDetectedByTheNextPullAndReplaced() {
        begin(71);
        startCallers();
        final int g = groupOf("permits/t0");
        final SimulatedProcess follower = followerOf(actingLeader(g), g);
        cluster.kill(follower, false);
        // the record is intact by its checksum, but differs from the other replicas' record, so that only a comparison
        // of replicas can detect it
        final StorageNode node = (StorageNode) follower.node;
        final LogRecord was = node.group(g).logRecord(node.group(g).committed());
        final byte[] body = was.body();
        body[body.length - 1] ^= 1;
        final LogRecord other = LogRecord.of(was.index(), was.term(), was.timestamp(), was.kind(), body, 0);
        follower.disk.replace(was.bytes(), other.bytes());
        cluster.restart(follower);
        cluster.run(cluster.now() + 3_000);
        assertTrue(cluster.notes().toString().contains("differs at or before"), "the difference was not detected");
        assertEquals(group(follower, g).logRecord(was.index()).bytes(), was.bytes());
        assertNoViolationsAfterQuiescence();
    }

    private static void corrupt(final GroupMachine m, final long index) {
        final byte[] bytes = m.logRecord(index).bytes();
        bytes[bytes.length - 1] ^= 1;
    }
}
