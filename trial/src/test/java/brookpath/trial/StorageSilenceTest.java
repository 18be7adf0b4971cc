package brookpath.trial;

import static org.testng.Assert.assertEquals;

import brookpath.coordination.Tempo;
import brookpath.coordination.spec.Placement;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.GroupInfo;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.coordination.spec.StorageSilence;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** When a storage machine that is silent is taken for gone. */
public final class StorageSilenceTest {
    private static final Tempo TEMPO = Tempo.DEFAULT;
    private static final long LONG_AGO = 0;
    private static final long NOW = 100_000;
    private static final long SILENT = NOW - TEMPO.goneAfter() - 1;

    private static final List<NodeInfo> NODES = List.of(
            new NodeInfo(11, "a", "x"),
            new NodeInfo(12, "b", "x"),
            new NodeInfo(13, "c", "x"),
            new NodeInfo(14, "d", "x"));
    private static final List<GroupInfo> GROUPS = Placement.found(NODES, 4, 3);

    private static Set<Integer> gone(final Map<Integer, Long> heardAt, final long dutySince) {
        final Roster roster = new Roster(1, NODES, GROUPS, List.of());
        return new StorageSilence(TEMPO, roster, heardAt, NOW).gone(dutySince, Set.of());
    }

    @Test
    public void aSilentMachineIsGoneOnlyAfterTheBound() {
        assertEquals(gone(Map.of(11, SILENT, 12, NOW, 13, NOW, 14, NOW), LONG_AGO), Set.of(11));
        assertEquals(gone(Map.of(11, SILENT + 1, 12, NOW, 13, NOW, 14, NOW), LONG_AGO), Set.of());
        assertEquals(gone(Map.of(12, NOW, 13, NOW, 14, NOW), LONG_AGO), Set.of(11));
    }

    @Test
    public void anEmptyMachineThatWaitsMakesItSooner() {
        final long silent = NOW - TEMPO.replacedAfter() - 1;
        assertEquals(gone(Map.of(11, silent, 12, NOW, 13, NOW, 14, NOW), LONG_AGO), Set.of());
        assertEquals(gone(Map.of(11, silent, 12, NOW, 13, NOW, 14, NOW, 15, NOW), LONG_AGO), Set.of(11));
    }

    @Test
    public void aNewControlMasterWaitsUntilAllHaveHadTimeToFindIt() {
        final Map<Integer, Long> heardAt = Map.of(12, NOW, 13, NOW, 14, NOW);
        final long justEnough = NOW - TEMPO.specHorizon() - TEMPO.goneAfter();
        assertEquals(gone(heardAt, justEnough), Set.of());
        assertEquals(gone(heardAt, justEnough - 1), Set.of(11));
    }

    @Test
    public void withHalfOfThemSilentNobodyIsJudged() {
        assertEquals(gone(Map.of(11, SILENT, 12, SILENT, 13, NOW, 14, NOW), LONG_AGO), Set.of());
        assertEquals(gone(Map.of(13, NOW), LONG_AGO), Set.of());
        assertEquals(gone(Map.of(), LONG_AGO), Set.of());
    }
}
