package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.ControllerNode;
import org.testng.annotations.Test;

/**
 * Guards against a usage report that is never sent again: the platform's response arrives while the control leader may
 * not act for a moment, so that the outcome cannot be recorded.
 */
public final class UsageRepeatTest {
    private static final String POSTS = "usage posts";

    private SimulatedCluster cluster;

    private SimulatedProcess controlLeader() {
        return cluster.controllers.stream()
                .map(id -> cluster.processes.get(id))
                .filter(p -> ((ControllerNode) p.node).group().mayAct(p.mono()))
                .findFirst()
                .orElseThrow();
    }

    private static ControlState state(final GroupMachine group) {
        return (ControlState) group.live();
    }

    /** A cluster with traffic whose first usage report is not sent yet. */
    private void startCluster() {
        cluster = ServingCluster.start(91);
        cluster.callers.publisher("ana", "permits/t0", "key-members", 50, 400);
    }

    /** The time at which the platform receives and answers the first report. */
    private long answeredAt() {
        startCluster();
        final int before = cluster.counted(POSTS);
        while (cluster.counted(POSTS) == before) {
            cluster.run(cluster.now() + 1);
        }
        return cluster.now();
    }

    @Test
    public void reportAnsweredWhileTheLeaderMayNotActIsSentAgain() {
        final long answeredAt = answeredAt();
        startCluster();
        cluster.run(answeredAt - 1);
        final SimulatedProcess leader = controlLeader();
        final GroupMachine group = ((ControllerNode) leader.node).group();
        final long window = state(group).undelivered(group.committed()).get(0).window();
        final SimulatedProcess successor = cluster.controllers.stream()
                .map(id -> cluster.processes.get(id))
                .filter(p -> p != leader)
                .findFirst()
                .orElseThrow();
        // The successor is frozen, so the leadership is not transferred and the leader acts again after a while
        cluster.freeze(successor, 30_000);
        assertTrue(group.transferLeadership(successor.id, leader.mono()));
        cluster.run(answeredAt);
        assertFalse(group.mayAct(leader.mono()));
        for (int i = 0; i < 10_000 && !group.mayAct(leader.mono()); i++) {
            cluster.run(cluster.now() + 1);
        }
        assertEquals(group.role(), GroupMachine.LEADER);
        cluster.run(cluster.now() + 2_000);
        assertEquals(state(group).deliveryOutcome(window), Boolean.TRUE, "the report was not sent again");
    }
}
