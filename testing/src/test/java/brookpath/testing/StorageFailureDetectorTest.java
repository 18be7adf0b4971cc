package brookpath.testing;

import static org.testng.Assert.assertEquals;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.placement.Placement;
import brookpath.coordination.placement.StorageFailureDetector;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** When a silent storage node is considered lost. */
public final class StorageFailureDetectorTest {
    private static final TimingBounds TIMING = TimingBounds.DEFAULT;
    private static final long LONG_AGO = 0;
    private static final long NOW = 100_000;
    private static final long SILENT = NOW - TIMING.lostAfter() - 1;

    private static final List<NodeInfo> NODES = List.of(
            new NodeInfo(11, "a", "x"),
            new NodeInfo(12, "b", "x"),
            new NodeInfo(13, "c", "x"),
            new NodeInfo(14, "d", "x"));
    private static final List<GroupInfo> GROUPS = Placement.initial(NODES, 4, 3);

    private static Set<Integer> lost(final Map<Integer, Long> heardAt, final long leadingSince) {
        final ClusterMetadata metadata = new ClusterMetadata(1, NODES, GROUPS, List.of());
        return new StorageFailureDetector(TIMING, metadata, heardAt, NOW).lost(leadingSince, Set.of());
    }

    @Test
    public void silentNodeIsLostOnlyAfterTheBound() {
        assertEquals(lost(Map.of(11, SILENT, 12, NOW, 13, NOW, 14, NOW), LONG_AGO), Set.of(11));
        assertEquals(lost(Map.of(11, SILENT + 1, 12, NOW, 13, NOW, 14, NOW), LONG_AGO), Set.of());
        assertEquals(lost(Map.of(12, NOW, 13, NOW, 14, NOW), LONG_AGO), Set.of(11));
    }

    @Test
    public void silentNodeIsLostSoonerWhileThereIsASpareNode() {
        final long silent = NOW - TIMING.lostAfterWithSpare() - 1;
        assertEquals(lost(Map.of(11, silent, 12, NOW, 13, NOW, 14, NOW), LONG_AGO), Set.of());
        assertEquals(lost(Map.of(11, silent, 12, NOW, 13, NOW, 14, NOW, 15, NOW), LONG_AGO), Set.of(11));
    }

    @Test
    public void newControlLeaderWaitsUntilAllNodesHaveHadTimeToFindIt() {
        final Map<Integer, Long> heardAt = Map.of(12, NOW, 13, NOW, 14, NOW);
        final long justEnough = NOW - TIMING.configurationDeadline() - TIMING.lostAfter();
        assertEquals(lost(heardAt, justEnough), Set.of());
        assertEquals(lost(heardAt, justEnough - 1), Set.of(11));
    }

    @Test
    public void noNodeIsLostWhileHalfOfThemAreSilent() {
        assertEquals(lost(Map.of(11, SILENT, 12, SILENT, 13, NOW, 14, NOW), LONG_AGO), Set.of());
        assertEquals(lost(Map.of(13, NOW), LONG_AGO), Set.of());
        assertEquals(lost(Map.of(), LONG_AGO), Set.of());
    }
}
