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
 * Applies plans of moves to random fleets until no move is left: planning must terminate with balanced nodes, and must
 * neither reduce the replicas of a group nor return to an earlier placement.
 */
public final class MovePlanTest {
    private static int load(final ClusterMetadata metadata, final int node) {
        return (int) metadata.groups().stream()
                .filter(g -> g.membership().holds(node))
                .count();
    }

    /** A random fleet: its storage nodes, those that are retiring, and the current placement. */
    private static final class RandomFleet {
        final long seed;
        final List<NodeInfo> nodes = new ArrayList<>();
        final List<Integer> retiring;
        ClusterMetadata metadata;

        RandomFleet(final long seed) {
            this.seed = seed;
            final SplittableRandom random = new SplittableRandom(seed);
            final int size = 4 + random.nextInt(5);
            for (int i = 0; i < size; i++) {
                nodes.add(new NodeInfo(11 + i, String.valueOf((char) ('a' + i % 4)), "x"));
            }
            // The groups were founded on fewer nodes than there are now, and one of those may be retiring
            final int foundingNodes = 3 + random.nextInt(size - 3);
            final List<GroupInfo> groups =
                    Placement.initial(nodes.subList(0, foundingNodes), 1 + random.nextInt(24), 3).stream()
                            .map(g -> new GroupInfo(g.id(), true, g.membership()))
                            .toList();
            retiring = size > 4 && random.nextBoolean() ? List.of(11 + random.nextInt(foundingNodes)) : List.of();
            metadata = new ClusterMetadata(1, nodes, groups, retiring);
        }

        /** Applies plan after plan until none has a move; returns the number of plans. */
        int applyAllPlans() {
            final Set<Integer> all = new HashSet<>();
            nodes.forEach(node -> all.add(node.node()));
            final Set<String> placementsSeen = new HashSet<>();
            int plans = 0;
            for (List<Move> moves = MovePlan.next(metadata, all, all, 3);
                    !moves.isEmpty();
                    moves = MovePlan.next(metadata, all, all, 3)) {
                assertTrue(moves.size() <= MovePlan.MAX_CONCURRENT_MOVES, moves.toString());
                moves.forEach(this::apply);
                assertTrue(
                        placementsSeen.add(placement()), "seed " + seed + " returns to an earlier placement: " + moves);
                assertTrue(++plans < 2_000, "seed " + seed + " does not terminate");
            }
            return plans;
        }

        private void apply(final Move move) {
            metadata = MovePlan.after(metadata, move);
            for (final GroupInfo g : metadata.groups()) {
                assertTrue(g.members().size() >= 3 && g.members().size() <= 4, "seed " + seed + ": " + g);
            }
        }

        private String placement() {
            final StringBuilder text = new StringBuilder();
            metadata.groups()
                    .forEach(g -> text.append(g.members()).append(g.membership().learners()));
            return text.toString();
        }

        void assertBalanced() {
            int least = Integer.MAX_VALUE;
            int most = 0;
            for (final NodeInfo node : nodes) {
                final int load = load(metadata, node.node());
                if (!retiring.contains(node.node())) {
                    least = Math.min(least, load);
                    most = Math.max(most, load);
                } else {
                    assertEquals(load, 0, "seed " + seed);
                }
            }
            assertTrue(
                    (nodes.size() > 4 && nodes.size() % 4 != 0) || most - least <= 1,
                    "seed " + seed + ": from " + least + " to " + most + " groups per node");
            for (final GroupInfo g : metadata.groups()) {
                assertEquals(g.members().stream().map(Member::zone).distinct().count(), 3, "seed " + seed + ": " + g);
            }
        }
    }

    @Test
    public void plansTerminateBalancedAndNeverReduceReplicas() {
        int plans = 0;
        for (long seed = 0; seed < 300; seed++) {
            final RandomFleet fleet = new RandomFleet(seed);
            plans += fleet.applyAllPlans();
            fleet.assertBalanced();
        }
        assertTrue(plans > 2_000, "only " + plans + " plans");
    }

    @Test
    public void leadershipReturnsToTheHighestRankOnlyWhileItIsSteady() {
        final List<NodeInfo> nodes =
                List.of(new NodeInfo(11, "a", "x"), new NodeInfo(12, "b", "x"), new NodeInfo(13, "c", "x"));
        final ClusterMetadata metadata = new ClusterMetadata(
                1,
                nodes,
                Placement.initial(nodes, 3, 3).stream()
                        .map(g -> new GroupInfo(g.id(), true, g.membership()))
                        .toList(),
                List.of());
        assertEquals(
                MovePlan.switchover(metadata, Map.of(0, 12, 1, 12, 2, 13), Set.of(11, 12, 13)),
                new MovePlan.Switchover(0, 12, 11));
        assertNull(MovePlan.switchover(metadata, Map.of(0, 12, 1, 12, 2, 13), Set.of(12, 13)));
        assertNull(MovePlan.switchover(metadata, Map.of(0, 11, 1, 12, 2, 13), Set.of(11, 12, 13)));
        assertTrue(MovePlan.next(metadata, Set.of(11, 12, 13), Set.of(11, 12, 13), 3)
                .isEmpty());
    }
}
