package brookpath.testing.sim;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Usage windows are reported although groups lose their quorum. */
public final class UsageScenariosTest extends ClusterScenario {
    @Test
    public void usageIsReportedInTimeWhileSomeGroupsHaveNoQuorum() {
        begin(90);
        startCallers();
        cluster.run(cluster.now() + 10_000);
        // With two of four machines down, some groups have no majority for three windows
        final List<SimulatedProcess> down = List.of(cluster.processes.get(11), cluster.processes.get(12));
        down.forEach(p -> cluster.kill(p, false));
        cluster.run(cluster.now() + 32_000);
        assertTrue(IntStream.range(0, GROUPS).anyMatch(g -> actingLeader(g) == null), "no group lost its majority");
        down.forEach(cluster::restart);
        cluster.run(cluster.now() + 25_000);
        assertNoViolationsAfterQuiescence();
        cluster.platform.settle();
        assertTrue(
                cluster.history.violations().isEmpty(),
                cluster.history.violations().toString());
        assertTrue(cluster.history.usage.reports() > 20, cluster.history.usage.reports() + " reports");
    }
}
