package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.Member;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.placement.MovePlan;
import brookpath.coordination.placement.MovePlan.Move;
import brookpath.coordination.placement.Placement;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * The plan of moves, driven to its end on random fleets: it ends, spreads, and never goes below the copies or back and
 * forth.
 */
public final class MovePlanTest {
    private static int load(final ClusterMetadata r, final int node) {
        return (int) r.groups().stream().filter(g -> g.membership().holds(node)).count();
    }

    @Test
    public void plansEndSpreadAndNeverTakeCopiesAway() {
        int moved = 0;
        for (long seed = 0; seed < 300; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final List<NodeInfo> nodes = new ArrayList<>();
            final int n = 4 + random.nextInt(5);
            for (int i = 0; i < n; i++) {
                nodes.add(new NodeInfo(11 + i, String.valueOf((char) ('a' + i % 4)), "x"));
            }
            // why: founded on fewer machines than there are now, and one of them may be on its way out
            final int first = 3 + random.nextInt(n - 3);
            final List<GroupInfo> groups =
                    Placement.initial(nodes.subList(0, first), 1 + random.nextInt(24), 3).stream()
                            .map(g -> new GroupInfo(g.id(), true, g.membership()))
                            .toList();
            final List<Integer> retiring =
                    n > 4 && random.nextBoolean() ? List.of(11 + random.nextInt(first)) : List.of();
            ClusterMetadata r = new ClusterMetadata(1, nodes, groups, retiring);
            final Set<Integer> all = new HashSet<>();
            nodes.forEach(x -> all.add(x.node()));
            final Set<String> seen = new HashSet<>();
            int steps = 0;
            for (List<Move> moves = MovePlan.next(r, all, all, 3);
                    !moves.isEmpty();
                    moves = MovePlan.next(r, all, all, 3)) {
                assertTrue(moves.size() <= MovePlan.MAX_CONCURRENT_MOVES, moves.toString());
                for (final Move m : moves) {
                    r = MovePlan.after(r, m);
                    for (final GroupInfo g : r.groups()) {
                        assertTrue(g.members().size() >= 3 && g.members().size() <= 4, "seed " + seed + ": " + g);
                    }
                }
                final StringBuilder shape = new StringBuilder();
                r.groups()
                        .forEach(g ->
                                shape.append(g.members()).append(g.membership().learners()));
                assertTrue(seen.add(shape.toString()), "seed " + seed + " goes to and fro: " + moves);
                assertTrue(++steps < 2_000, "seed " + seed + " does not end");
            }
            moved += steps;
            int least = Integer.MAX_VALUE;
            int most = 0;
            for (final NodeInfo x : nodes) {
                if (!retiring.contains(x.node())) {
                    least = Math.min(least, load(r, x.node()));
                    most = Math.max(most, load(r, x.node()));
                } else {
                    assertEquals(load(r, x.node()), 0, "seed " + seed);
                }
            }
            assertTrue(
                    (n > 4 && nodes.size() % 4 != 0) || most - least <= 1,
                    "seed " + seed + ": from " + least + " to " + most + " groups a machine");
            for (final GroupInfo g : r.groups()) {
                assertEquals(g.members().stream().map(Member::zone).distinct().count(), 3, "seed " + seed + ": " + g);
            }
        }
        assertTrue(moved > 2_000, "only " + moved + " steps");
    }

    @Test
    public void aLeaderGoesBackToTheHighestRankOnlyWhereThatIsSteady() {
        final List<NodeInfo> nodes =
                List.of(new NodeInfo(11, "a", "x"), new NodeInfo(12, "b", "x"), new NodeInfo(13, "c", "x"));
        final ClusterMetadata r = new ClusterMetadata(
                1,
                nodes,
                Placement.initial(nodes, 3, 3).stream()
                        .map(g -> new GroupInfo(g.id(), true, g.membership()))
                        .toList(),
                List.of());
        assertEquals(
                MovePlan.switchover(r, Map.of(0, 12, 1, 12, 2, 13), Set.of(11, 12, 13)),
                new MovePlan.Switchover(0, 12, 11));
        assertNull(MovePlan.switchover(r, Map.of(0, 12, 1, 12, 2, 13), Set.of(12, 13)));
        assertNull(MovePlan.switchover(r, Map.of(0, 11, 1, 12, 2, 13), Set.of(11, 12, 13)));
        assertTrue(MovePlan.next(r, Set.of(11, 12, 13), Set.of(11, 12, 13), 3).isEmpty());
    }
}
