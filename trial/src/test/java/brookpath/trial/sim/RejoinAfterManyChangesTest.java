package brookpath.trial.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Job;
import brookpath.coordination.spec.ControlState;
import org.testng.annotations.Test;

/** A control member that was away for hundreds of changes catches up, and never leads with what it had before. */
public final class RejoinAfterManyChangesTest {
    private static final int CHANGES = 350;
    private static final long AWAY_MS = 45_000;
    private static final long CATCH_UP_MS = 4_000;
    private static final int ANNOTATION_BYTES = 8_000;

    private World world;
    private long version;

    @Test
    public void aMemberThatWasAwayCatchesUp() {
        final Proc away = comesBackAfterManyChanges(41, false);
        catchesUp(away);
        othersDieAndTheNewestIsStillThere(away);
    }

    @Test
    public void aMemberWithAWipedDiskCatchesUp() {
        final Proc away = comesBackAfterManyChanges(42, true);
        catchesUp(away);
        othersDieAndTheNewestIsStillThere(away);
    }

    @Test
    public void aMemberThatIsBehindNeverLeadsThoughTheMasterDiesAsItComesBack() {
        for (long seed = 43; seed < 49; seed++) {
            final Proc away = comesBackAfterManyChanges(seed, false);
            world.run(world.now() + 50 * (seed - 43));
            world.kill(controlMaster(), true);
            Proc next = null;
            for (int i = 0; i < 500 && next == null; i++) {
                world.run(world.now() + 10);
                next = controlMaster();
            }
            assertTrue(next != null, "seed " + seed + ": no master within 5 s");
            assertEquals(acceptedVersion(next), version, "seed " + seed + ": node " + next.id);
            assertTrue(next != away || group(away).baseLsn() > 0, "it leads with the log it came back with");
        }
    }

    private Proc comesBackAfterManyChanges(final long seed, final boolean wiped) {
        world = World.serving(seed);
        final Proc master = controlMaster();
        final Proc away = world.procs.get(master.id == 1 ? 2 : 1);
        version = acceptedVersion(master);
        world.kill(away, true);
        if (wiped) {
            away.disk.wipe();
        }
        final long before = group(master).endLsn();
        for (int i = 0; i < CHANGES; i++) {
            change(master, "run-" + i);
            world.run(world.now() + AWAY_MS / CHANGES);
        }
        assertEquals(acceptedVersion(master), version, "not all changes were accepted");
        assertTrue(group(master).baseLsn() > before, "the log was not trimmed beneath the member that is away");
        world.restart(away);
        return away;
    }

    private void change(final Proc master, final String changeId) {
        final String plain = world.callers.operators.document(version, changeId, true);
        final String doc =
                plain.substring(0, plain.length() - 1) + ",\"annotation\":\"" + "z".repeat(ANNOTATION_BYTES) + "\"}";
        world.callers.asked(master, id -> new Job.Operate(id, "change", doc.getBytes(UTF_8)), r -> {});
        version++;
    }

    private void catchesUp(final Proc away) {
        final long from = world.now();
        while (acceptedVersion(away) < version && world.now() < from + CATCH_UP_MS) {
            world.run(world.now() + 10);
        }
        System.out.println("MEASURED caught up with " + CHANGES + " changes in " + (world.now() - from) + " ms");
        assertEquals(
                acceptedVersion(away),
                version,
                "after " + CATCH_UP_MS + " ms: " + group(away).why());
        world.run(world.now() + 500);
        assertEquals(group(away).syncedLsn(), group(controlMaster()).syncedLsn());
        assertTrue(!group(away).lost());
    }

    /** Only the one that was away and one other are left: whoever leads has everything. */
    private void othersDieAndTheNewestIsStillThere(final Proc away) {
        final Proc master = controlMaster();
        world.kill(master, true);
        world.run(world.now() + 4_000);
        assertEquals(acceptedVersion(controlMaster()), version);
        final Proc other = world.controllers.stream()
                .map(world.procs::get)
                .filter(p -> p != away && p != master)
                .findFirst()
                .orElseThrow();
        world.restart(master);
        world.run(world.now() + 4_000);
        world.kill(other, true);
        world.run(world.now() + 4_000);
        assertEquals(acceptedVersion(controlMaster()), version);
        assertTrue(world.history.violations().isEmpty(), String.join("\n", world.history.violations()));
    }

    private Proc controlMaster() {
        return world.controllers.stream()
                .map(world.procs::get)
                .filter(p -> p.alive && group(p).mayAct(p.mono()))
                .findFirst()
                .orElse(null);
    }

    private static GroupMachine group(final Proc p) {
        return ((ControllerNode) p.node).group();
    }

    private static long acceptedVersion(final Proc p) {
        return ((ControlState) group(p).live()).specAt(group(p).accepted()).version();
    }
}
