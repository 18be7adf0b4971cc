package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.StorageNode;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Storage nodes that start again while no controller runs.
 *
 * <p>The failure: after a loss of power of all machines, clients waited for seconds although the machines ran. The
 * order of events: the storage nodes ran 0.2 s after their start; 1.3 s later a control leader was elected; 0.4 s after
 * that the topic groups elected theirs. The cause: a storage node kept its logs, but not who the members of its groups
 * are and where they are reached. These came from the control plane alone, so that two elections which need nothing of
 * each other ran one after the other.
 *
 * <p>The evidence: in this test no group ever elects a leader unless the members are kept.
 */
public final class RestartWithoutControlPlaneTest extends ClusterScenario {
    private static final int SEEDS = 6;
    /** A process votes once the promises of its former incarnation have run out; then comes the election itself. */
    private static final int DETECTION_TIMES_UNTIL_LED = 4;

    @Test
    public void topicGroupsElectTheirLeadersByThemselves() {
        for (int seed = 70; seed < 70 + SEEDS; seed++) {
            begin(seed);
            startCallers();
            loseAllPower();
            cluster.storages.forEach(id -> cluster.restart(cluster.processes.get(id)));
            cluster.run(cluster.now() + DETECTION_TIMES_UNTIL_LED * cluster.timing.detectionTime());
            for (int group = 0; group < GROUPS; group++) {
                assertNotNull(actingLeader(group), "seed " + seed + ", group " + group + ": " + cluster.notes());
            }
            restartAll();
            cluster.run(cluster.now() + 6_000);
            assertNoViolationsAfterQuiescence();
        }
    }

    /** What a machine keeps may be old; what it has left by then it does not open again. */
    @Test
    public void aRetiredMachineOpensNoGroupsOfItsFormerTime() {
        begin(80);
        startCallers();
        final SimulatedProcess retired = actingLeader(0);
        sendOperatorRequest(
                "retire",
                PackedBuffer.writer().putLong(retired.id).putLong(1).toByteArray(),
                r -> assertEquals(r.status(), 202, r.toString()));
        for (int i = 0; i < 300 && replicasOn(retired) > 0; i++) {
            cluster.run(cluster.now() + 100);
        }
        assertEquals(replicasOn(retired), 0);
        cluster.run(cluster.now() + 2_000);
        loseAllPower();
        cluster.storages.forEach(id -> cluster.restart(cluster.processes.get(id)));
        cluster.run(cluster.now() + DETECTION_TIMES_UNTIL_LED * cluster.timing.detectionTime());
        for (int group = 0; group < GROUPS; group++) {
            assertNull(((StorageNode) retired.node).group(group));
        }
        restartAll();
        cluster.run(cluster.now() + 6_000);
        assertNoViolationsAfterQuiescence();
    }

    /** A machine without its disk knows no members; it neither votes nor counts before the control plane is back. */
    @Test
    public void aMachineThatLostItsDiskTakesNoPart() {
        begin(90);
        startCallers();
        final SimulatedProcess wiped = actingLeader(0);
        loseAllPower();
        wiped.disk.wipe();
        cluster.storages.forEach(id -> cluster.restart(cluster.processes.get(id)));
        cluster.run(cluster.now() + 2 * DETECTION_TIMES_UNTIL_LED * cluster.timing.detectionTime());
        for (int group = 0; group < GROUPS; group++) {
            assertNull(((StorageNode) wiped.node).group(group));
            assertNotNull(actingLeader(group), "group " + group + ": " + cluster.notes());
        }
        restartAll();
        cluster.run(cluster.now() + 6_000);
        assertNoViolationsAfterQuiescence();
    }

    /** Leaders without a configuration lease accept nothing, and trim nothing. */
    @Test
    public void nothingIsAcceptedBeforeTheControlPlaneIsBack() {
        begin(95);
        startCallers();
        loseAllPower();
        cluster.storages.forEach(id -> cluster.restart(cluster.processes.get(id)));
        cluster.gateways.forEach(id -> cluster.restart(cluster.processes.get(id)));
        cluster.run(cluster.now() + 4_000);
        final List<Response> responses = new ArrayList<>();
        cluster.callers.ask(
                cluster.processes.get(cluster.gateways.get(0)),
                id -> new NodeRequest.Publish(id, "key-members", "permits/t0", "eve", 1, "early"),
                responses::add);
        cluster.run(cluster.now() + 4_000);
        assertTrue(responses.isEmpty() || responses.get(0).status() != 200, responses.toString());
        restartAll();
        cluster.run(cluster.now() + 6_000);
        assertNoViolationsAfterQuiescence();
    }

    private void loseAllPower() {
        cluster.processes.values().forEach(process -> cluster.kill(process, true));
        cluster.run(cluster.now() + 600);
    }

    private void restartAll() {
        cluster.processes.values().forEach(cluster::restart);
    }
}
