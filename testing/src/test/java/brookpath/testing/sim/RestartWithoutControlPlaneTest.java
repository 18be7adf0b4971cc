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
 * Guards against topic groups that cannot elect a leader after a restart until the control plane is available.
 *
 * <p>A storage node must store the members of its groups and their addresses with its logs. If they come from the
 * control plane alone, the elections of the control group and of the topic groups run one after the other. After a loss
 * of power of all machines, storage nodes that ran 0.2 s after their start then waited 1.3 s for a control leader, and
 * the topic groups elected their leaders another 0.4 s later, while clients waited. Without the stored members no group
 * elects a leader in this test.
 */
public final class RestartWithoutControlPlaneTest extends ClusterScenario {
    private static final int SEEDS = 6;
    /** A process votes once the promises of its earlier incarnation have expired; the election itself follows. */
    private static final int DETECTION_TIMES_UNTIL_LED = 4;

    @Test
    public void topicGroupsElectLeadersWithoutTheControlPlane() {
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

    /** The stored members may be outdated: a machine must not open a group again that it has left. */
    @Test
    public void retiredMachineDoesNotOpenItsFormerGroups() {
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

    /** A machine that lost its disk knows no members: it takes no part in elections until the control plane is back. */
    @Test
    public void machineWithALostDiskTakesNoPart() {
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

    /** Leaders without a configuration lease accept no publishes and trim no records. */
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
