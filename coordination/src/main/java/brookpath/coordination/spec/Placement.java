package brookpath.coordination.spec;

import brookpath.coordination.group.Member;
import brookpath.coordination.spec.Roster.GroupInfo;
import brookpath.coordination.spec.Roster.NodeInfo;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Spreads groups over storage nodes: members in different zones where there are enough, masters spread by weight. */
public final class Placement {
    private static final int[] WEIGHTS = {90, 60, 30, 25, 20, 15, 10};

    private Placement() {
    }

    public static List<GroupInfo> found(final List<NodeInfo> storages, final int groups, final int copies) {
        final List<NodeInfo> sorted = new ArrayList<>(storages);
        sorted.sort(Comparator.comparingInt(NodeInfo::node));
        final List<GroupInfo> placed = new ArrayList<>();
        for (int g = 0; g < groups; g++) {
            final List<NodeInfo> chosen = new ArrayList<>();
            // why: first one of each zone, then whoever is left, beginning elsewhere for each group
            for (int round = 0; round < 2; round++) {
                for (int i = 0; i < sorted.size() && chosen.size() < copies; i++) {
                    final NodeInfo n = sorted.get((g + i) % sorted.size());
                    final boolean zoneTaken = chosen.stream().anyMatch(c -> c.zone().equals(n.zone()));
                    if (!chosen.contains(n) && (round == 1 || !zoneTaken)) {
                        chosen.add(n);
                    }
                }
            }
            final List<Member> members = new ArrayList<>();
            for (int i = 0; i < chosen.size(); i++) {
                members.add(new Member(chosen.get(i).node(), WEIGHTS[i], chosen.get(i).zone()));
            }
            placed.add(new GroupInfo(g, 1, false, List.copyOf(members)));
        }
        return placed;
    }

    /** The group of a topic. A space that promises one order for all lies in one group. */
    public static int groupOf(final String topic, final Spec.Space space, final int groups) {
        int h = 0x811c9dc5;
        final String hashed = space.one() ? space.name() : topic;
        for (int i = 0; i < hashed.length(); i++) {
            h = (h ^ hashed.charAt(i)) * 0x01000193;
        }
        return Math.floorMod(h ^ h >>> 15, groups);
    }
}
