package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.NodeRequest;
import org.testng.annotations.Test;

/** A control member that was away for hundreds of changes catches up, and never leads with what it had before. */
public final class RejoinAfterManyChangesTest {
    private static final int CHANGES = 350;
    private static final long AWAY_MS = 45_000;
    private static final long CATCH_UP_MS = 4_000;
    private static final int ANNOTATION_BYTES = 8_000;

    private SimulatedCluster world;
    private long version;

    @Test
    public void aMemberThatWasAwayCatchesUp() {
        final SimulatedProcess away = comesBackAfterManyChanges(41, false);
        catchesUp(away);
        othersDieAndTheNewestIsStillThere(away);
    }

    @Test
    public void aMemberWithAWipedDiskCatchesUp() {
        final SimulatedProcess away = comesBackAfterManyChanges(42, true);
        catchesUp(away);
        othersDieAndTheNewestIsStillThere(away);
    }

    @Test
    public void aMemberThatIsBehindNeverLeadsThoughTheLeaderDiesAsItComesBack() {
        for (long seed = 43; seed < 49; seed++) {
            final SimulatedProcess away = comesBackAfterManyChanges(seed, false);
            world.run(world.now() + 50 * (seed - 43));
            world.kill(controlLeader(), true);
            SimulatedProcess next = null;
            for (int i = 0; i < 500 && next == null; i++) {
                world.run(world.now() + 10);
                next = controlLeader();
            }
            assertTrue(next != null, "seed " + seed + ": no master within 5 s");
            assertEquals(committedVersion(next), version, "seed " + seed + ": node " + next.id);
            assertTrue(next != away || group(away).baseIndex() > 0, "it leads with the log it came back with");
        }
    }

    private SimulatedProcess comesBackAfterManyChanges(final long seed, final boolean wiped) {
        world = SimulatedCluster.serving(seed);
        final SimulatedProcess leader = controlLeader();
        final SimulatedProcess away = world.processes.get(leader.id == 1 ? 2 : 1);
        version = committedVersion(leader);
        world.kill(away, true);
        if (wiped) {
            away.disk.wipe();
        }
        final long before = group(leader).endIndex();
        for (int i = 0; i < CHANGES; i++) {
            change(leader, "run-" + i);
            world.run(world.now() + AWAY_MS / CHANGES);
        }
        assertEquals(committedVersion(leader), version, "not all changes were accepted");
        assertTrue(group(leader).baseIndex() > before, "the log was not trimmed beneath the member that is away");
        world.restart(away);
        return away;
    }

    private void change(final SimulatedProcess leader, final String changeId) {
        final String plain = world.callers.operators.document(version, changeId, true);
        final String doc =
                plain.substring(0, plain.length() - 1) + ",\"annotation\":\"" + "z".repeat(ANNOTATION_BYTES) + "\"}";
        world.callers.asked(leader, id -> new NodeRequest.Operate(id, "change", doc.getBytes(UTF_8)), r -> {});
        version++;
    }

    private void catchesUp(final SimulatedProcess away) {
        final long from = world.now();
        while (committedVersion(away) < version && world.now() < from + CATCH_UP_MS) {
            world.run(world.now() + 10);
        }
        System.out.println("MEASURED caught up with " + CHANGES + " changes in " + (world.now() - from) + " ms");
        assertEquals(
                committedVersion(away),
                version,
                "after " + CATCH_UP_MS + " ms: " + group(away).why());
        world.run(world.now() + 500);
        assertEquals(group(away).syncedIndex(), group(controlLeader()).syncedIndex());
        assertTrue(!group(away).lost());
    }

    /** Only the one that was away and one other are left: whoever leads has everything. */
    private void othersDieAndTheNewestIsStillThere(final SimulatedProcess away) {
        final SimulatedProcess leader = controlLeader();
        world.kill(leader, true);
        world.run(world.now() + 4_000);
        assertEquals(committedVersion(controlLeader()), version);
        final SimulatedProcess other = world.controllers.stream()
                .map(world.processes::get)
                .filter(p -> p != away && p != leader)
                .findFirst()
                .orElseThrow();
        world.restart(leader);
        world.run(world.now() + 4_000);
        world.kill(other, true);
        world.run(world.now() + 4_000);
        assertEquals(committedVersion(controlLeader()), version);
        assertTrue(world.history.violations().isEmpty(), String.join("\n", world.history.violations()));
    }

    private SimulatedProcess controlLeader() {
        return world.controllers.stream()
                .map(world.processes::get)
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
