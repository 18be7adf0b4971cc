package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.testing.SeedsInParallel;
import java.util.List;
import org.testng.annotations.Test;

/** Storage machines that are gone for good: their copies are made elsewhere before the next loss. */
public final class GroupRepairTest {
    private static final int NEWCOMER = 15;
    /** A new machine counts as lost for this long after its start. */
    private static final long CATCH_UP_MS = 4_000;

    private static final long REPAIR_BOUND_MS = 1_500;
    private static final int MEASURED_SEEDS = 104;

    /** How long a repair took, in milliseconds of the simulation. */
    private record Repair(long msFromLoss, long msFromJudgement) {}

    @Test
    public void aReplacedMachinesCopiesAreMadeBeforeTheNextLoss() throws InterruptedException {
        SeedsInParallel.check(100, 115, seed -> {
            final GroupRepairScene scene = new GroupRepairScene(seed);
            scene.publishAll("first");
            final int gone = 11 + (int) seed % 4;
            scene.lose(gone);
            scene.run(2_000);
            scene.cluster.addStorage(NEWCOMER, scene.cluster.processes.get(gone).zone);
            scene.run(CATCH_UP_MS);
            assertTrue(scene.allWhole(gone), "seed " + seed + " is not whole:\n" + scene.notes());
            scene.publishAll("second");
            final int next = scene.cluster.storages.get((int) (seed / 4 % 5));
            scene.loseDiskAndReturn(next == gone ? NEWCOMER : next, seed % 2 == 0 ? 1_000 : 8_000);
            scene.run(3_000);
            scene.publishAll("third");
            scene.run(12_000);
            scene.readBack("seed " + seed);
        });
    }

    @Test
    public void withoutANewMachineTheOthersTakeTheCopies() throws InterruptedException {
        SeedsInParallel.check(120, 131, seed -> {
            final GroupRepairScene scene = new GroupRepairScene(seed);
            scene.publishAll("first");
            final int gone = 11 + (int) seed % 4;
            scene.lose(gone);
            scene.run(CATCH_UP_MS);
            assertTrue(scene.allWhole(gone), "seed " + seed + " is not whole:\n" + scene.notes());
            final int next = 11 + (int) (seed + 1) % 4;
            scene.loseDiskAndReturn(next, seed % 2 == 0 ? 1_000 : 8_000);
            scene.run(3_000);
            scene.publishAll("second");
            scene.run(12_000);
            scene.readBack("seed " + seed);
        });
    }

    @Test
    public void aMachineThatWasCutOffDropsItsCopiesAndIsUsedAgain() throws InterruptedException {
        SeedsInParallel.check(140, 143, seed -> {
            final GroupRepairScene scene = new GroupRepairScene(seed);
            scene.publishAll("first");
            final int cutOff = 11 + (int) seed % 4;
            scene.cluster.processes.keySet().forEach(id -> {
                scene.cluster.net.cut(id, cutOff);
                scene.cluster.net.cut(cutOff, id);
            });
            scene.run(20_000);
            assertTrue(scene.allWhole(cutOff), "seed " + seed + " is not whole:\n" + scene.notes());
            scene.cluster.net.heal();
            scene.run(3_000);
            for (int g = 0; g < GroupRepairScene.GROUPS; g++) {
                assertTrue(scene.copy(cutOff, g) == null, "seed " + seed + ": group " + g + " was not dropped");
            }
            scene.publishAll("second");
            scene.run(60_000);
            final List<Integer> versions = scene.versions();
            assertTrue(scene.held(cutOff) >= 2, "seed " + seed + ": only " + scene.held(cutOff) + " groups came back");
            scene.run(60_000);
            assertEquals(scene.versions(), versions, "seed " + seed + ": copies go to and fro");
            scene.readBack("seed " + seed);
        });
    }

    @Test
    public void aRetiringMachineIsDoneThoughOthersLoseTheirDisksMeanwhile() throws InterruptedException {
        SeedsInParallel.check(0, 23, step -> {
            final GroupRepairScene scene = new GroupRepairScene(200 + step);
            scene.publishAll("first");
            final int leaving = 11 + (int) step % 4;
            scene.retire(leaving);
            scene.run(15 * step);
            final int other = 11 + (int) (step + 1 + step / 4 % 3) % 4;
            scene.loseDiskAndReturn(other, 300);
            final long returned = scene.cluster.now() + 300;
            scene.untilCompleted(leaving, "step " + step);
            scene.lose(leaving);
            scene.cluster.run(Math.max(scene.cluster.now(), returned + CATCH_UP_MS));
            final int third = 11 + (int) (step + 2) % 4;
            scene.loseDiskAndReturn(third == leaving ? other : third, 1_000);
            scene.run(8_000);
            scene.readBack("step " + step);
        });
    }

    @Test
    public void onceARetiringMachineIsDoneAnotherMayLoseItsDisk() throws InterruptedException {
        SeedsInParallel.check(240, 251, seed -> {
            final GroupRepairScene scene = new GroupRepairScene(seed);
            scene.publishAll("first");
            final int leaving = 11 + (int) seed % 4;
            scene.retire(leaving);
            scene.untilCompleted(leaving, "seed " + seed);
            scene.lose(leaving);
            scene.loseDiskAndReturn(11 + (int) (seed + 1 + seed / 4 % 3) % 4, 1_000);
            scene.run(8_000);
            scene.readBack("seed " + seed);
        });
    }

    @Test
    public void aTargetThatDiesInTheRepairIsReplaced() throws InterruptedException {
        SeedsInParallel.check(0, 23, step -> {
            final GroupRepairScene scene = new GroupRepairScene(300 + step);
            scene.publishAll("first");
            final int gone = 11 + (int) step % 4;
            scene.lose(gone);
            scene.cluster.addStorage(NEWCOMER, scene.cluster.processes.get(gone).zone);
            scene.run(1_000 + 20 * step);
            scene.lose(NEWCOMER);
            scene.run(7_000);
            assertTrue(
                    scene.allWhole(gone) && scene.allWhole(NEWCOMER),
                    "step " + step + " is not whole:\n" + scene.notes());
            scene.readBack("step " + step);
        });
    }

    @Test
    public void aNewOrAFrozenControlLeaderTakesNobodyForGone() throws InterruptedException {
        SeedsInParallel.check(400, 411, seed -> {
            final GroupRepairScene scene = new GroupRepairScene(seed);
            final List<Integer> versions = scene.versions();
            final SimulatedProcess leader = scene.controlLeader();
            if (seed % 2 == 0) {
                scene.cluster.kill(leader, true);
            } else {
                scene.cluster.freeze(leader, 3_000);
            }
            scene.run(10_000);
            assertEquals(scene.versions(), versions, "seed " + seed + ": copies moved:\n" + scene.notes());
            assertFalse(scene.notes().contains("considered lost: [1"), "seed " + seed + ":\n" + scene.notes());
            scene.cluster.restart(leader);
            scene.readBack("seed " + seed);
        });
    }

    /** With the periods of the deployments, from the loss and from the control leader's judgement. */
    @Test
    public void allGroupsAreWholeSoonAfterTheJudgement() throws InterruptedException {
        final TimingBounds storages = new TimingBounds(2_000, 12_000, 3_000, 5_000, 4_500);
        final TimingBounds control = new TimingBounds(3_000, 12_000, 3_000, 5_000, 4_500);
        for (final boolean newcomer : List.of(false, true)) {
            final List<Repair> repairs = SeedsInParallel.play(0, MEASURED_SEEDS - 1, seed -> {
                final SimulatedCluster cluster = ServingCluster.start(seed, storages, control);
                return repairAfterALoss(new GroupRepairScene(cluster), 11 + (int) seed % 4, newcomer);
            });
            final List<Long> fromLoss =
                    repairs.stream().map(Repair::msFromLoss).sorted().toList();
            final List<Long> fromJudgement =
                    repairs.stream().map(Repair::msFromJudgement).sorted().toList();
            final String what = (newcomer ? "with" : "without") + " a new machine: from the loss "
                    + distribution(fromLoss) + "; from the judgement " + distribution(fromJudgement);
            System.out.println("Groups whole again, " + what);
            assertTrue(fromJudgement.get(fromJudgement.size() - 1) <= REPAIR_BOUND_MS, what);
            assertTrue(fromLoss.get(fromLoss.size() - 1) <= CATCH_UP_MS + 1_000, what);
        }
    }

    private static Repair repairAfterALoss(final GroupRepairScene scene, final int gone, final boolean newcomer) {
        scene.lose(gone);
        if (newcomer) {
            scene.cluster.at(scene.cluster.now() + 1_000, () -> scene.cluster.addStorage(NEWCOMER, "d"));
        }
        final long from = scene.cluster.now();
        final long took = scene.untilWhole(gone, 8_000);
        return new Repair(took, took - (scene.judgedAt() - from));
    }

    /** The median, the 99th percentile and the largest of ascending figures. */
    private static String distribution(final List<Long> figures) {
        return "median " + figures.get(figures.size() / 2) + ", 99th " + figures.get(figures.size() * 99 / 100)
                + ", worst " + figures.get(figures.size() - 1) + " ms";
    }
}
