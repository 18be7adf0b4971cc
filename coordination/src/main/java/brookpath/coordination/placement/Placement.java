package brookpath.coordination.placement;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/** Assigns groups to storage nodes: members in different zones if there are enough, leaders spread by their weights. */
public final class Placement {
    private static final int[] WEIGHTS = {90, 60, 30, 25, 20, 15, 10};

    private Placement() {}

    /** The initial placement of this many groups, each with the given number of replicas. */
    public static List<GroupInfo> initial(final List<NodeInfo> storageNodes, final int groups, final int replicas) {
        final List<NodeInfo> sorted = new ArrayList<>(storageNodes);
        sorted.sort(Comparator.comparingInt(NodeInfo::node));
        final List<GroupInfo> placements = new ArrayList<>();
        for (int g = 0; g < groups; g++) {
            final List<NodeInfo> chosen = new ArrayList<>();
            // First one node of each zone, then any of the others; each group starts at another node
            for (int round = 0; round < 2; round++) {
                for (int i = 0; i < sorted.size() && chosen.size() < replicas; i++) {
                    final NodeInfo n = sorted.get((g + i) % sorted.size());
                    final boolean zoneTaken =
                            chosen.stream().anyMatch(c -> c.zone().equals(n.zone()));
                    if (!chosen.contains(n) && (round == 1 || !zoneTaken)) {
                        chosen.add(n);
                    }
                }
            }
            final List<Member> members = new ArrayList<>();
            for (int i = 0; i < chosen.size(); i++) {
                members.add(new Member(
                        chosen.get(i).node(), WEIGHTS[i], chosen.get(i).zone()));
            }
            placements.add(new GroupInfo(g, false, new Membership(1, List.copyOf(members), List.of())));
        }
        return placements;
    }

    /** The storage node that is the best replacement for another in a group; null if there is none. */
    public static NodeInfo replacementFor(
            final ClusterMetadata metadata, final GroupInfo g, final int leaving, final Set<Integer> alive) {
        NodeInfo best = null;
        int bestScore = Integer.MAX_VALUE;
        for (final NodeInfo n : metadata.nodes()) {
            if ((g.membership().holds(n.node())
                            && Membership.find(g.membership().learners(), n.node()) == null)
                    || metadata.retiring().contains(n.node())
                    || !alive.contains(n.node())) {
                continue;
            }
            final boolean sameZone = g.members().stream()
                    .anyMatch(m -> m.node() != leaving && m.zone().equals(n.zone()));
            final int load = (int) metadata.groups().stream()
                    .filter(o -> o.membership().holds(n.node()))
                    .count();
            // An existing learner is preferred, otherwise the group would get a second one
            final int score = load
                    + (sameZone ? 10_000 : 0)
                    - (Membership.find(g.membership().learners(), n.node()) != null ? 100_000 : 0);
            if (score < bestScore) {
                bestScore = score;
                best = n;
            }
        }
        return best;
    }

    /** The group ID of a topic. All topics of a space that guarantees one order across them map to the same group. */
    public static int groupOf(final String topic, final Configuration.Space space, final int groups) {
        int h = 0x811c9dc5;
        final String hashed = space.oneOrder() ? space.name() : topic;
        for (int i = 0; i < hashed.length(); i++) {
            h = (h ^ hashed.charAt(i)) * 0x01000193;
        }
        return Math.floorMod(h ^ h >>> 15, groups);
    }
}
