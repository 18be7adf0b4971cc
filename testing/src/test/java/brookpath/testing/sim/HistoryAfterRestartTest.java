package brookpath.testing.sim;

import static org.testng.Assert.assertTrue;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.placement.Placement;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How much history storage nodes hold after a restart. */
public final class HistoryAfterRestartTest {
    private static final String TOPIC = "permits/a";
    private static final long PUBLISH_PERIOD_MS = 50;
    private static final int MAX_ATTEMPTS = 40;
    private static final long DOWN_MS = 600;
    private static final long OBSERVED_MS = 20_000;
    /** Shorter than records are kept, longer than a checkpoint is old when the processes end. */
    private static final long OBSERVED_WITHIN_RETENTION_MS = 35_000;
    /** Logs are trimmed in steps of 64 records, each replica on its own. */
    private static final long TRIM_STEPS_RECORDS = 2 * 64;

    private SimulatedCluster cluster;

    /** Publishes until records are as old as they get. */
    @BeforeMethod
    public void fillHistory() {
        cluster = ServingCluster.start(61);
        cluster.callers.publisher("ana", TOPIC, "key-members", PUBLISH_PERIOD_MS, MAX_ATTEMPTS);
        cluster.run(cluster.now() + Callers.RETENTION_MS + cluster.timing.retentionMargin() + 10_000);
    }

    private List<SimulatedProcess> members() {
        final List<SimulatedProcess> members = new ArrayList<>();
        for (final int id : cluster.storages) {
            if (replica(cluster.processes.get(id)) != null) {
                members.add(cluster.processes.get(id));
            }
        }
        return members;
    }

    private static GroupMachine replica(final SimulatedProcess process) {
        final int group = Placement.groupOf(
                TOPIC, new Configuration.Space("permits", Callers.RETENTION_MS, false, 2), FleetSize.SMALL.groups());
        return process.alive ? ((StorageNode) process.node).group(group) : null;
    }

    private void restart(final List<SimulatedProcess> processes) {
        processes.forEach(process -> cluster.kill(process, false));
        cluster.run(cluster.now() + DOWN_MS);
        processes.forEach(cluster::restart);
    }

    /**
     * Guards against replicas that keep all that they replay for another retention time, so that storage processes run
     * out of memory after a rolling restart (review/1).
     */
    @Test
    public void restartedReplicaTrimsWithTheOtherMembers() {
        for (final SimulatedProcess restarted : members()) {
            restart(List.of(restarted));
            cluster.run(cluster.now() + OBSERVED_MS);
            long trimmed = 0;
            for (final SimulatedProcess member : members()) {
                trimmed = Math.max(trimmed, replica(member).baseIndex());
            }
            assertTrue(trimmed > TRIM_STEPS_RECORDS, "no member has trimmed its log");
            assertTrue(
                    replica(restarted).baseIndex() >= trimmed - TRIM_STEPS_RECORDS,
                    "node " + restarted.id + " keeps the records after "
                            + replica(restarted).baseIndex() + ", another member those after " + trimmed);
        }
    }

    /**
     * Guards against all members keeping what they replay for another retention time after all of them were restarted:
     * none is then left that could tell how old the records are.
     */
    @Test
    public void recordsKeepTheirAgeWhenAllMembersAreRestarted() {
        final long oldest = replica(members().get(0)).baseIndex();
        restart(members());
        cluster.run(cluster.now() + OBSERVED_WITHIN_RETENTION_MS);
        for (final SimulatedProcess member : members()) {
            assertTrue(
                    replica(member).baseIndex() > oldest + TRIM_STEPS_RECORDS,
                    "node " + member.id + " has trimmed no more than "
                            + replica(member).baseIndex() + " since its start, " + oldest + " before");
        }
    }
}
