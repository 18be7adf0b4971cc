package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.Response;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Replicas move between machines: retirement, promotion of learners, rebalancing. */
public final class PlacementScenariosTest extends ClusterScenario {
    @Test
    public void retiredMachineIsEmptiedUnderLoadWithoutLoss() {
        for (long seed = 20; seed < 26; seed++) {
            begin(seed);
            startCallers();
            final SimulatedProcess leaving = actingLeader(groupOf("permits/t0"));
            final int before = replicasOn(leaving);
            assertTrue(before > 0);
            sendOperatorRequest(
                    "retire",
                    PackedBuffer.writer().putLong(leaving.id).putLong(1).toByteArray(),
                    r -> assertEquals(r.status(), 202, r.toString()));
            if (seed % 2 == 1) {
                // A move must continue across a change of the control leader and of a group's leader
                crashControlLeaderAndAnotherMachine(leaving);
            }
            for (int i = 0; i < 300 && replicasOn(leaving) > 0; i++) {
                cluster.run(cluster.now() + 100);
                for (int g = 0; g < GROUPS; g++) {
                    final SimulatedProcess leader = actingLeader(g);
                    assertTrue(leader == null || group(leader, g).members().size() >= 3, "fewer replicas than before");
                }
            }
            assertEquals(replicasOn(leaving), 0, "seed " + seed + ": " + cluster.notes());
            cluster.run(cluster.now() + 6_000);
            assertSecondRetirementIsRejected(leaving);
            cluster.kill(leaving, true);
            leaving.disk.wipe();
            cluster.run(cluster.now() + 2_000);
            assertNoViolationsAfterQuiescence();
        }
    }

    private void crashControlLeaderAndAnotherMachine(final SimulatedProcess leaving) {
        cluster.run(cluster.now() + 300);
        final SimulatedProcess controller = controlLeader();
        cluster.kill(controller, true);
        cluster.at(cluster.now() + 2_000, () -> cluster.restart(controller));
        final SimulatedProcess other = cluster.processes.get(firstMachineExcept(leaving));
        cluster.at(cluster.now() + 3_000, () -> cluster.kill(other, true));
        cluster.at(cluster.now() + 5_000, () -> cluster.restart(other));
    }

    /** Every group needs the three nodes that remain. */
    private void assertSecondRetirementIsRejected(final SimulatedProcess retired) {
        final Response[] response = new Response[1];
        for (int i = 0; i < 20 && (response[0] == null || response[0].status() == 503); i++) {
            sendOperatorRequest(
                    "retire",
                    PackedBuffer.writer()
                            .putLong(firstMachineExcept(retired))
                            .putLong(1)
                            .toByteArray(),
                    r -> response[0] = r);
        }
        assertEquals(response[0].status(), 409, response[0].toString());
        assertTrue(response[0].json().contains("/groups/"), response[0].json());
    }

    private int firstMachineExcept(final SimulatedProcess excluded) {
        return cluster.storages.stream()
                .filter(id -> id != excluded.id)
                .findFirst()
                .orElseThrow();
    }

    @Test
    public void learnerThatReceivesNothingIsNotPromoted() {
        begin(51);
        startCallers();
        final SimulatedProcess leaving = actingLeader(0);
        final SimulatedProcess to = cluster.processes.values().stream()
                .filter(p -> cluster.storages.contains(p.id) && group(p, 0) == null)
                .findFirst()
                .orElseThrow();
        final List<Integer> others = new ArrayList<>();
        for (int g = 0; g < GROUPS; g++) {
            if (group(to, g) == null) {
                others.add(g);
            }
        }
        cluster.storages.forEach(id -> cluster.net.cut(id, to.id));
        sendOperatorRequest(
                "retire",
                PackedBuffer.writer().putLong(leaving.id).putLong(1).toByteArray(),
                r -> assertEquals(r.status(), 202, r.toString()));
        cluster.run(cluster.now() + 3_000);
        boolean becameLearner = false;
        for (final int g : others) {
            final var membership = group(actingLeader(g), g).membership();
            becameLearner |= Membership.find(membership.learners(), to.id) != null;
            assertTrue(
                    Membership.find(membership.voters(), to.id) == null,
                    "group " + g + " has a voter with an incomplete replica");
        }
        assertTrue(becameLearner, "the node became a learner of no group");
        cluster.net.heal();
        cluster.run(cluster.now() + 8_000);
        assertEquals(replicasOn(leaving), 0);
        assertNoViolationsAfterQuiescence();
    }

    @Test
    public void replicasAndLeadersAreRebalancedOnceAMachineIsBackForGood() {
        begin(60);
        startCallers();
        final SimulatedProcess back = actingLeader(0);
        sendOperatorRequest(
                "retire",
                PackedBuffer.writer().putLong(back.id).putLong(1).toByteArray(),
                r -> assertEquals(r.status(), 202, r.toString()));
        cluster.run(cluster.now() + 8_000);
        assertEquals(replicasOn(back), 0);
        sendOperatorRequest(
                "retire",
                PackedBuffer.writer().putLong(back.id).putLong(0).toByteArray(),
                r -> assertEquals(r.status(), 202, r.toString()));
        for (int i = 0; i < 40; i++) {
            cluster.run(cluster.now() + 1_000);
            for (int g = 0; g < GROUPS; g++) {
                final SimulatedProcess leader = actingLeader(g);
                assertTrue(leader == null || group(leader, g).members().size() >= 3, "fewer replicas than before");
            }
        }
        assertEquals(replicasByMachine(), List.of(3, 3, 3, 3));
        // The leaderships of a killed leader return to it only once it has been back for long
        final SimulatedProcess killed = actingLeader(1);
        cluster.kill(killed, true);
        cluster.run(cluster.now() + 3_000);
        cluster.restart(killed);
        cluster.run(cluster.now() + 60_000);
        assertLedByHighestWeight();
        final int elections = cluster.counted("topic elections");
        cluster.run(cluster.now() + 60_000);
        assertEquals(cluster.counted("topic elections"), elections, "leaders keep moving");
        assertEquals(replicasByMachine(), List.of(3, 3, 3, 3));
        assertNoViolationsAfterQuiescence();
    }

    private void assertLedByHighestWeight() {
        for (int g = 0; g < GROUPS; g++) {
            final GroupMachine m = group(actingLeader(g), g);
            final int first = m.members().stream()
                    .max((a, b) -> a.weight() != b.weight() ? a.weight() - b.weight() : a.node() - b.node())
                    .orElseThrow()
                    .node();
            assertEquals(actingLeader(g).id, first, "group " + g + " is not led by its member of the highest weight");
        }
    }

    private List<Integer> replicasByMachine() {
        return cluster.storages.stream()
                .map(id -> replicasOn(cluster.processes.get(id)))
                .toList();
    }
}
