package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import org.testng.annotations.Test;

/**
 * A control group member that was down during hundreds of changes catches up, and never leads with its outdated log.
 */
public final class RejoinAfterManyChangesTest {
    private static final int CHANGES = 350;
    private static final long DOWN_MS = 45_000;
    private static final long CATCH_UP_MS = 4_000;
    private static final int ANNOTATION_BYTES = 8_000;

    private SimulatedCluster cluster;
    private long version;

    @Test
    public void memberThatWasDownCatchesUp() {
        final SimulatedProcess lagging = restartAfterManyChanges(41, false);
        awaitCatchUp(lagging);
        newestVersionSurvivesCrashesOfOtherMembers(lagging);
    }

    @Test
    public void memberWithAWipedDiskCatchesUp() {
        final SimulatedProcess lagging = restartAfterManyChanges(42, true);
        awaitCatchUp(lagging);
        newestVersionSurvivesCrashesOfOtherMembers(lagging);
    }

    @Test
    public void laggingMemberNeverLeadsEvenIfTheLeaderCrashesAsItRestarts() {
        for (long seed = 43; seed < 49; seed++) {
            final SimulatedProcess lagging = restartAfterManyChanges(seed, false);
            cluster.run(cluster.now() + 50 * (seed - 43));
            cluster.kill(controlLeader(), true);
            SimulatedProcess next = null;
            for (int i = 0; i < 500 && next == null; i++) {
                cluster.run(cluster.now() + 10);
                next = controlLeader();
            }
            assertTrue(next != null, "seed " + seed + ": no control leader within 5 s");
            assertEquals(committedVersion(next), version, "seed " + seed + ": node " + next.id);
            assertTrue(next != lagging || group(lagging).baseIndex() > 0, "it leads with its outdated log");
        }
    }

    private SimulatedProcess restartAfterManyChanges(final long seed, final boolean wiped) {
        cluster = ServingCluster.start(seed);
        final SimulatedProcess leader = controlLeader();
        final SimulatedProcess lagging = cluster.processes.get(leader.id == 1 ? 2 : 1);
        version = committedVersion(leader);
        cluster.kill(lagging, true);
        if (wiped) {
            lagging.disk.wipe();
        }
        final long before = group(leader).endIndex();
        for (int i = 0; i < CHANGES; i++) {
            change(leader, "run-" + i);
            cluster.run(cluster.now() + DOWN_MS / CHANGES);
        }
        assertEquals(committedVersion(leader), version, "not all changes were accepted");
        assertTrue(
                group(leader).baseIndex() > before,
                "the log was not trimmed past the end of the log of the member that is down");
        cluster.restart(lagging);
        return lagging;
    }

    private void change(final SimulatedProcess leader, final String changeId) {
        final String plain = cluster.callers.operators.document(version, changeId, true);
        final String doc =
                plain.substring(0, plain.length() - 1) + ",\"annotation\":\"" + "z".repeat(ANNOTATION_BYTES) + "\"}";
        cluster.callers.ask(
                leader, id -> new NodeRequest.Operate(id, ControlRequestKind.CHANGE, doc.getBytes(UTF_8)), r -> {});
        version++;
    }

    private void awaitCatchUp(final SimulatedProcess lagging) {
        final long from = cluster.now();
        while (committedVersion(lagging) < version && cluster.now() < from + CATCH_UP_MS) {
            cluster.run(cluster.now() + 10);
        }
        System.out.println("MEASURED caught up with " + CHANGES + " changes in " + (cluster.now() - from) + " ms");
        assertEquals(
                committedVersion(lagging),
                version,
                "after " + CATCH_UP_MS + " ms: " + group(lagging).why());
        cluster.run(cluster.now() + 500);
        assertEquals(group(lagging).syncedIndex(), group(controlLeader()).syncedIndex());
        assertTrue(!group(lagging).lost());
    }

    /** Only the member that was down and one other are left: whichever leads has the newest version. */
    private void newestVersionSurvivesCrashesOfOtherMembers(final SimulatedProcess lagging) {
        final SimulatedProcess leader = controlLeader();
        cluster.kill(leader, true);
        cluster.run(cluster.now() + 4_000);
        assertEquals(committedVersion(controlLeader()), version);
        final SimulatedProcess other = cluster.controllers.stream()
                .map(cluster.processes::get)
                .filter(p -> p != lagging && p != leader)
                .findFirst()
                .orElseThrow();
        cluster.restart(leader);
        cluster.run(cluster.now() + 4_000);
        cluster.kill(other, true);
        cluster.run(cluster.now() + 4_000);
        assertEquals(committedVersion(controlLeader()), version);
        assertTrue(cluster.history.violations().isEmpty(), String.join("\n", cluster.history.violations()));
    }

    private SimulatedProcess controlLeader() {
        return cluster.controllers.stream()
                .map(cluster.processes::get)
                .filter(p -> p.alive && group(p).mayAct(p.mono()))
                .findFirst()
                .orElse(null);
    }

    private static GroupMachine group(final SimulatedProcess p) {
        return ((ControllerNode) p.node).group();
    }

    private static long committedVersion(final SimulatedProcess p) {
        return ((ControlState) group(p).live())
                .configurationAt(group(p).committed())
                .version();
    }
}
