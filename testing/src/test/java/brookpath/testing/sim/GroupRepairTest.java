package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.testing.SeedsInParallel;
import java.util.List;
import org.testng.annotations.Test;

/** After the permanent loss of a storage machine its replicas are rebuilt on others before the next loss. */
public final class GroupRepairTest {
    private static final int NEW_MACHINE = 15;
    /** How long a new machine counts as lost after its start, in milliseconds. */
    private static final long CATCH_UP_MS = 4_000;

    private static final long REPAIR_BOUND_MS = 1_500;
    private static final int MEASURED_SEEDS = 104;

    /** How long a repair took, in milliseconds of the simulation. */
    private record Repair(long msFromLoss, long msFromDeclaration) {}

    @Test
    public void replicasOfAReplacedMachineAreRebuiltBeforeTheNextLoss() throws InterruptedException {
        SeedsInParallel.check(100, 115, seed -> {
            final GroupRepairScene scene = new GroupRepairScene(seed);
            scene.publishAll("first");
            final int lost = 11 + (int) seed % 4;
            scene.loseMachine(lost);
            scene.run(2_000);
            scene.cluster.addStorage(NEW_MACHINE, scene.cluster.processes.get(lost).zone);
            scene.run(CATCH_UP_MS);
            assertTrue(scene.allFullyReplicated(lost), "seed " + seed + " is not fully replicated:\n" + scene.notes());
            scene.publishAll("second");
            final int next = scene.cluster.storages.get((int) (seed / 4 % 5));
            scene.loseDiskAndReturn(next == lost ? NEW_MACHINE : next, seed % 2 == 0 ? 1_000 : 8_000);
            scene.run(3_000);
            scene.publishAll("third");
            scene.run(12_000);
            scene.verifyCommitted("seed " + seed);
        });
    }

    @Test
    public void replicasAreRebuiltOnOtherMachinesWithoutANewOne() throws InterruptedException {
        SeedsInParallel.check(120, 131, seed -> {
            final GroupRepairScene scene = new GroupRepairScene(seed);
            scene.publishAll("first");
            final int lost = 11 + (int) seed % 4;
            scene.loseMachine(lost);
            scene.run(CATCH_UP_MS);
            assertTrue(scene.allFullyReplicated(lost), "seed " + seed + " is not fully replicated:\n" + scene.notes());
            final int next = 11 + (int) (seed + 1) % 4;
            scene.loseDiskAndReturn(next, seed % 2 == 0 ? 1_000 : 8_000);
            scene.run(3_000);
            scene.publishAll("second");
            scene.run(12_000);
            scene.verifyCommitted("seed " + seed);
        });
    }

    @Test
    public void partitionedMachineDropsItsReplicasAndIsUsedAgain() throws InterruptedException {
        SeedsInParallel.check(140, 143, seed -> {
            final GroupRepairScene scene = new GroupRepairScene(seed);
            scene.publishAll("first");
            final int cutOff = 11 + (int) seed % 4;
            scene.cluster.processes.keySet().forEach(id -> {
                scene.cluster.net.cut(id, cutOff);
                scene.cluster.net.cut(cutOff, id);
            });
            scene.run(20_000);
            assertTrue(
                    scene.allFullyReplicated(cutOff), "seed " + seed + " is not fully replicated:\n" + scene.notes());
            scene.cluster.net.heal();
            scene.run(3_000);
            for (int g = 0; g < GroupRepairScene.GROUPS; g++) {
                assertTrue(scene.replica(cutOff, g) == null, "seed " + seed + ": group " + g + " was not dropped");
            }
            scene.publishAll("second");
            scene.run(60_000);
            final List<Integer> versions = scene.versions();
            assertTrue(
                    scene.membershipsOf(cutOff) >= 2,
                    "seed " + seed + ": only " + scene.membershipsOf(cutOff) + " groups returned");
            scene.run(60_000);
            assertEquals(scene.versions(), versions, "seed " + seed + ": replicas move back and forth");
            scene.verifyCommitted("seed " + seed);
        });
    }

    @Test
    public void retirementCompletesAlthoughOthersLoseTheirDisks() throws InterruptedException {
        SeedsInParallel.check(0, 23, step -> {
            final GroupRepairScene scene = new GroupRepairScene(200 + step);
            scene.publishAll("first");
            final int leaving = 11 + (int) step % 4;
            scene.retire(leaving);
            scene.run(15 * step);
            final int other = 11 + (int) (step + 1 + step / 4 % 3) % 4;
            scene.loseDiskAndReturn(other, 300);
            final long returned = scene.cluster.now() + 300;
            scene.runUntilRetired(leaving, "step " + step);
            scene.loseMachine(leaving);
            scene.cluster.run(Math.max(scene.cluster.now(), returned + CATCH_UP_MS));
            final int third = 11 + (int) (step + 2) % 4;
            scene.loseDiskAndReturn(third == leaving ? other : third, 1_000);
            scene.run(8_000);
            scene.verifyCommitted("step " + step);
        });
    }

    @Test
    public void afterARetirementAnotherMachineMayLoseItsDisk() throws InterruptedException {
        SeedsInParallel.check(240, 251, seed -> {
            final GroupRepairScene scene = new GroupRepairScene(seed);
            scene.publishAll("first");
            final int leaving = 11 + (int) seed % 4;
            scene.retire(leaving);
            scene.runUntilRetired(leaving, "seed " + seed);
            scene.loseMachine(leaving);
            scene.loseDiskAndReturn(11 + (int) (seed + 1 + seed / 4 % 3) % 4, 1_000);
            scene.run(8_000);
            scene.verifyCommitted("seed " + seed);
        });
    }

    @Test
    public void targetThatFailsDuringTheRepairIsReplaced() throws InterruptedException {
        SeedsInParallel.check(0, 23, step -> {
            final GroupRepairScene scene = new GroupRepairScene(300 + step);
            scene.publishAll("first");
            final int lost = 11 + (int) step % 4;
            scene.loseMachine(lost);
            scene.cluster.addStorage(NEW_MACHINE, scene.cluster.processes.get(lost).zone);
            scene.run(1_000 + 20 * step);
            scene.loseMachine(NEW_MACHINE);
            scene.run(7_000);
            assertTrue(
                    scene.allFullyReplicated(lost) && scene.allFullyReplicated(NEW_MACHINE),
                    "step " + step + " is not fully replicated:\n" + scene.notes());
            scene.verifyCommitted("step " + step);
        });
    }

    @Test
    public void newOrFrozenControlLeaderDeclaresNoMachineLost() throws InterruptedException {
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
            assertEquals(scene.versions(), versions, "seed " + seed + ": replicas moved:\n" + scene.notes());
            assertFalse(scene.notes().contains("considered lost: [1"), "seed " + seed + ":\n" + scene.notes());
            scene.cluster.restart(leader);
            scene.verifyCommitted("seed " + seed);
        });
    }

    /** Uses the timing of the deployments; measures from the loss, and from its declaration by the control leader. */
    @Test
    public void allGroupsAreFullyReplicatedSoonAfterTheDeclaration() throws InterruptedException {
        final TimingBounds storages = new TimingBounds(2_000, 12_000, 3_000, 5_000, 4_500);
        final TimingBounds control = new TimingBounds(3_000, 12_000, 3_000, 5_000, 4_500);
        for (final boolean withNewMachine : List.of(false, true)) {
            final List<Repair> repairs = SeedsInParallel.play(0, MEASURED_SEEDS - 1, seed -> {
                final SimulatedCluster cluster = ServingCluster.start(seed, storages, control);
                return repairAfterALoss(new GroupRepairScene(cluster), 11 + (int) seed % 4, withNewMachine);
            });
            final List<Long> fromLoss =
                    repairs.stream().map(Repair::msFromLoss).sorted().toList();
            final List<Long> fromDeclaration =
                    repairs.stream().map(Repair::msFromDeclaration).sorted().toList();
            final String what = (withNewMachine ? "with" : "without") + " a new machine: from the loss "
                    + distribution(fromLoss) + "; from its declaration " + distribution(fromDeclaration);
            System.out.println("Groups fully replicated again, " + what);
            assertTrue(fromDeclaration.get(fromDeclaration.size() - 1) <= REPAIR_BOUND_MS, what);
            assertTrue(fromLoss.get(fromLoss.size() - 1) <= CATCH_UP_MS + 1_000, what);
        }
    }

    private static Repair repairAfterALoss(final GroupRepairScene scene, final int lost, final boolean withNewMachine) {
        scene.loseMachine(lost);
        if (withNewMachine) {
            scene.cluster.at(scene.cluster.now() + 1_000, () -> scene.cluster.addStorage(NEW_MACHINE, "d"));
        }
        final long from = scene.cluster.now();
        final long took = scene.msUntilFullyReplicated(lost, 8_000);
        return new Repair(took, took - (scene.declaredLostAt() - from));
    }

    /** The median, the 99th percentile and the largest of ascending figures. */
    private static String distribution(final List<Long> figures) {
        return "median " + figures.get(figures.size() / 2) + ", 99th " + figures.get(figures.size() * 99 / 100)
                + ", worst " + figures.get(figures.size() - 1) + " ms";
    }
}
