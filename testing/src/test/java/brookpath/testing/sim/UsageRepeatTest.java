package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.ControllerNode;
import org.testng.annotations.Test;

/** A usage report whose end is told at a bad moment goes again. */
public final class UsageRepeatTest {
    private static final String POSTS = "usage posts";

    private SimulatedCluster world;

    private SimulatedProcess controlLeader() {
        return world.controllers.stream()
                .map(id -> world.processes.get(id))
                .filter(p -> ((ControllerNode) p.node).group().mayAct(p.mono()))
                .findFirst()
                .orElseThrow();
    }

    private static ControlState state(final GroupMachine group) {
        return (ControlState) group.live();
    }

    /** A world with traffic whose first usage report is not sent yet. */
    private void begin() {
        world = SimulatedCluster.serving(91);
        world.callers.publisher("ana", "permits/t0", "key-members", 50, 400);
    }

    /** When the platform takes the first report, which answers it at the same moment. */
    private long answerAt() {
        begin();
        final int before = world.counted(POSTS);
        while (world.counted(POSTS) == before) {
            world.run(world.now() + 1);
        }
        return world.now();
    }

    @Test
    public void aReportThatEndsWhileTheLeaderMayNotActIsSentAgain() {
        final long answerAt = answerAt();
        begin();
        world.run(answerAt - 1);
        final SimulatedProcess leader = controlLeader();
        final GroupMachine group = ((ControllerNode) leader.node).group();
        final long window = state(group).undelivered(group.committed()).get(0).window();
        final SimulatedProcess successor = world.controllers.stream()
                .map(id -> world.processes.get(id))
                .filter(p -> p != leader)
                .findFirst()
                .orElseThrow();
        // why: whoever is to take over is frozen, so the leadership stays where it is, after a while without acting
        world.freeze(successor, 30_000);
        assertTrue(group.handOver(successor.id, leader.mono()));
        world.run(answerAt);
        assertFalse(group.mayAct(leader.mono()));
        for (int i = 0; i < 10_000 && !group.mayAct(leader.mono()); i++) {
            world.run(world.now() + 1);
        }
        assertEquals(group.role(), GroupMachine.LEADER);
        world.run(world.now() + 2_000);
        assertEquals(state(group).deliveryOutcome(window), Boolean.TRUE, "the report waits for ever");
    }
}
