package brookpath.coordination.placement;

import brookpath.coordination.configuration.Finding;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which replicas and leaderships are to move. The control leader calls it periodically; the planner calls it
 * too, without effect. The result is derived from the cluster metadata alone, so that any control leader continues what
 * another began; no state of a move is kept but the memberships themselves.
 */
public final class MovePlan {
    /** The most groups whose replicas move at the same time, to bound the load on the others. */
    public static final int MAX_CONCURRENT_MOVES = 4;

    /** Weighs a replica in a zone that has none yet against the load of single nodes. */
    private static final int ZONE_GAIN = 100;

    /** Makes a replica whose zone has another one of the group leave before any that is alone in its zone. */
    private static final int SHARED_ZONE_SCORE = 10_000;

    private static final int NO_NODE = 0;

    /**
     * A move of one replica of the group from one node to another.
     *
     * @param repair the node that leaves is considered lost
     */
    public record Move(int group, int from, NodeInfo to, String why, boolean repair) {
        Move(final int group, final int from, final NodeInfo to, final String why) {
            this(group, from, to, why, false);
        }

        @Override
        public String toString() {
            return "group " + group + ": a copy from node " + from + " to node " + to.node() + ", " + why;
        }
    }

    /**
     * The liveness of the storage nodes as the control leader sees it.
     *
     * @param alive those that have polled lately
     * @param steady those among them that have been alive for long enough to receive replicas or leaderships
     * @param lost those silent for so long that their replicas are to be rebuilt elsewhere
     */
    public record StorageLiveness(Set<Integer> alive, Set<Integer> steady, Set<Integer> lost) {}

    /** A transfer of the group's leadership to a member that ranks higher. */
    public record Switchover(int group, int from, int to) {}

    /**
     * The result of retiring a storage node, or of cancelling that: the resulting cluster metadata, or the findings
     * against it.
     */
    public record Retirement(ClusterMetadata then, List<Finding> findings) {}

    private MovePlan() {}

    /** Plans to retire a storage node, or with {@code on} false to cancel its retirement. */
    public static Retirement retire(
            final ClusterMetadata metadata, final int node, final boolean on, final Set<Integer> alive) {
        final List<Finding> findings = new ArrayList<>();
        if (metadata.node(node) == null) {
            findings.add(new Finding("/storages/" + node, "no such storage machine"));
        }
        final List<Integer> retiring = new ArrayList<>(metadata.retiring());
        retiring.remove((Integer) node);
        if (on) {
            retiring.add(node);
        }
        final ClusterMetadata then = metadata.with(metadata.nodes(), metadata.groups(), retiring);
        for (final GroupInfo g : metadata.groups()) {
            if (on
                    && Membership.find(g.members(), node) != null
                    && Placement.replacementFor(then, g, node, alive) == null) {
                findings.add(new Finding(
                        "/groups/" + g.id(),
                        "no live storage machine can take the place of node " + node
                                + "; the group would have fewer copies than it was founded with"));
            }
        }
        return new Retirement(then, findings);
    }

    /** The cluster metadata after one step of a move by the group's leader; null where the move is complete. */
    public static ClusterMetadata after(final ClusterMetadata metadata, final Move m) {
        final GroupInfo g = metadata.groups().get(m.group());
        final Member from = Membership.find(g.members(), m.from());
        final int weight = from == null ? 0 : from.weight();
        final Member to = new Member(m.to().node(), weight, m.to().zone());
        final Membership next = m.repair()
                ? g.membership().repairStep(m.from(), to)
                : g.membership().step(m.from(), to);
        return next == null ? null : metadata.with(new GroupInfo(g.id(), g.founded(), next));
    }

    /** The moves that are due, one step each, where no node is considered lost. */
    public static List<Move> next(
            final ClusterMetadata metadata, final Set<Integer> alive, final Set<Integer> steady, final int copies) {
        return next(metadata, new StorageLiveness(alive, steady, Set.of()), copies);
    }

    /** The moves that are due, one step each. */
    public static List<Move> next(final ClusterMetadata metadata, final StorageLiveness liveness, final int copies) {
        final List<Move> moves = new ArrayList<>();
        // Moves in progress are completed first, else a change of plans would leave partly moved replicas in many
        // groups
        for (final GroupInfo g : metadata.groups()) {
            if (g.founded() && underWay(g, copies)) {
                final Move m = continueMove(metadata, g, liveness, copies);
                if (m != null) {
                    moves.add(m);
                }
            }
        }
        // A group with too few replicas has priority over one whose replica only has to move
        begin(metadata, liveness, copies, liveness.lost, moves);
        begin(metadata, liveness, copies, metadata.retiring(), moves);
        if (moves.isEmpty()) {
            final Move m = spread(metadata, liveness.steady, copies);
            if (m != null) {
                moves.add(m);
            }
        }
        return moves;
    }

    private static void begin(
            final ClusterMetadata metadata,
            final StorageLiveness liveness,
            final int copies,
            final Collection<Integer> leavers,
            final List<Move> moves) {
        for (final GroupInfo g : metadata.groups()) {
            final int leaving = leaving(g, leavers);
            final boolean begun = underWay(g, copies) || moves.stream().anyMatch(m -> m.group() == g.id());
            final boolean wanted = leaving != 0 || g.members().size() < copies;
            if (moves.size() < MAX_CONCURRENT_MOVES && g.founded() && !begun && wanted) {
                final NodeInfo to = Placement.replacementFor(planned(metadata, moves), g, leaving, liveness.alive);
                if (to != null) {
                    moves.add(leave(liveness, g, leaving, to));
                }
            }
        }
    }

    /**
     * The cluster metadata as if the moves had begun, so that nodes about to receive a replica count as more loaded.
     */
    private static ClusterMetadata planned(final ClusterMetadata metadata, final List<Move> moves) {
        ClusterMetadata then = metadata;
        for (final Move m : moves) {
            final ClusterMetadata next = after(then, m);
            then = next == null ? then : next;
        }
        return then;
    }

    private static Move leave(final StorageLiveness liveness, final GroupInfo g, final int leaving, final NodeInfo to) {
        if (leaving == 0) {
            return new Move(g.id(), 0, to, "it is a copy short", true);
        }
        final boolean repair = liveness.lost.contains(leaving);
        return new Move(g.id(), leaving, to, "node " + leaving + (repair ? " is gone" : " retires"), repair);
    }

    private static boolean underWay(final GroupInfo g, final int copies) {
        return g.members().size() > copies || !g.membership().learners().isEmpty();
    }

    /** The voter to be removed: a lost one before a retiring one; 0 for none. */
    private static int leaving(final ClusterMetadata metadata, final GroupInfo g, final StorageLiveness liveness) {
        final int gone = leaving(g, liveness.lost);
        return gone != 0 ? gone : leaving(g, metadata.retiring());
    }

    private static int leaving(final GroupInfo g, final Collection<Integer> leavers) {
        for (final int node : leavers) {
            if (Membership.find(g.members(), node) != null) {
                return node;
            }
        }
        return 0;
    }

    /**
     * The next step for a group with a learner, or with one voter too many: the learner becomes a voter, then the
     * leaving voter is removed. A learner that leaves itself is removed first. Null where the step has to wait.
     */
    private static Move continueMove(
            final ClusterMetadata metadata, final GroupInfo g, final StorageLiveness liveness, final int copies) {
        for (final Member learner : g.membership().learners()) {
            final boolean lost = liveness.lost.contains(learner.node());
            if (lost || metadata.retiring().contains(learner.node())) {
                final NodeInfo stays = metadata.node(g.members().get(0).node());
                return new Move(g.id(), learner.node(), stays, "it learns, and leaves before it is done", lost);
            }
        }
        final int leaving = leaving(metadata, g, liveness);
        if (g.members().size() > copies) {
            return removeExtraReplica(metadata, g, leaving);
        }
        final Move promotion = continueWithLearner(metadata, g, liveness, leaving, copies);
        if (promotion != null) {
            return promotion;
        }
        final boolean wanted = leaving != NO_NODE || g.members().size() < copies;
        final NodeInfo to = !wanted ? null : Placement.replacementFor(metadata, g, leaving, liveness.alive);
        return to == null ? null : leave(liveness, g, leaving, to);
    }

    private static Move removeExtraReplica(final ClusterMetadata metadata, final GroupInfo g, final int leaving) {
        final int from = leaving != NO_NODE ? leaving : mostLoaded(metadata, g.members());
        final NodeInfo stays = metadata.node(g.members().stream()
                .map(Member::node)
                .filter(n -> n != from)
                .findFirst()
                .orElseThrow());
        return new Move(g.id(), from, stays, "it has a copy more than it needs");
    }

    /** The next step for the first learner that is alive; null where there is none. */
    private static Move continueWithLearner(
            final ClusterMetadata metadata,
            final GroupInfo g,
            final StorageLiveness liveness,
            final int leaving,
            final int copies) {
        for (final Member learner : g.membership().learners()) {
            final NodeInfo to = metadata.node(learner.node());
            if (to == null || !liveness.alive.contains(to.node())) {
                continue;
            }
            if (g.members().size() < copies) {
                return new Move(g.id(), NO_NODE, to, "it is a copy short, and node " + to.node() + " learns it", true);
            }
            final int from = leaving != NO_NODE ? leaving : mostLoaded(metadata, g.members());
            return new Move(
                    g.id(), from, to, "node " + to.node() + " learns it already", liveness.lost.contains(leaving));
        }
        return null;
    }

    private static int load(final ClusterMetadata metadata, final int node) {
        return (int) metadata.groups().stream()
                .filter(g -> g.membership().holds(node))
                .count();
    }

    private static int mostLoaded(final ClusterMetadata metadata, final List<Member> members) {
        int best = 0;
        int bestScore = -1;
        for (final Member m : members) {
            final boolean zoneTwice =
                    members.stream().filter(o -> o.zone().equals(m.zone())).count() > 1;
            final int score = load(metadata, m.node()) + (zoneTwice ? SHARED_ZONE_SCORE : 0);
            if (score > bestScore) {
                bestScore = score;
                best = m.node();
            }
        }
        return best;
    }

    /**
     * One move that reduces the imbalance between two nodes by two replicas, and makes the spread over zones no worse;
     * null where there is none.
     */
    private static Move spread(final ClusterMetadata metadata, final Set<Integer> steady, final int copies) {
        Move best = null;
        // A difference of one would only change sides, so that such moves would alternate endlessly
        int bestGain = 1;
        for (final GroupInfo g : metadata.groups()) {
            if (!isMovable(g, steady, copies)) {
                continue;
            }
            for (final NodeInfo to : metadata.nodes()) {
                if (!mayTake(metadata, g, to, steady)) {
                    continue;
                }
                for (final Member from : g.members()) {
                    final int zones = zonesGained(g, from, to);
                    final int gain = load(metadata, from.node()) - load(metadata, to.node()) + ZONE_GAIN * zones;
                    if (zones >= 0 && gain > bestGain) {
                        bestGain = gain;
                        best = new Move(g.id(), from.node(), to, spreadReason(metadata, from, to, zones));
                    }
                }
            }
        }
        return best;
    }

    /** Whether all members are present; while one is missing, no replica is moved just for an even spread. */
    private static boolean isMovable(final GroupInfo g, final Set<Integer> steady, final int copies) {
        return g.founded()
                && g.members().size() == copies
                && steady.containsAll(g.members().stream().map(Member::node).toList());
    }

    private static boolean mayTake(
            final ClusterMetadata metadata, final GroupInfo g, final NodeInfo to, final Set<Integer> steady) {
        return steady.contains(to.node())
                && !metadata.retiring().contains(to.node())
                && !g.membership().holds(to.node());
    }

    private static int zonesGained(final GroupInfo g, final Member from, final NodeInfo to) {
        return zones(g, from.node(), to.zone()) - zones(g, NO_NODE, "");
    }

    private static String spreadReason(
            final ClusterMetadata metadata, final Member from, final NodeInfo to, final int zonesGained) {
        return zonesGained > 0
                ? "its copies lie in fewer zones than they could"
                : "node " + from.node() + " holds " + load(metadata, from.node()) + " groups, node " + to.node() + " "
                        + load(metadata, to.node());
    }

    private static int zones(final GroupInfo g, final int without, final String with) {
        final Set<String> zones = new HashSet<>();
        g.members().stream().filter(m -> m.node() != without).forEach(m -> zones.add(m.zone()));
        if (!with.isEmpty()) {
            zones.add(with);
        }
        return zones.size();
    }

    /**
     * The first group whose leader is not its highest-ranking member, though that one is steady; null where all leaders
     * follow the weights.
     */
    public static Switchover switchover(
            final ClusterMetadata metadata, final Map<Integer, Integer> leaders, final Set<Integer> steady) {
        for (final GroupInfo g : metadata.groups()) {
            final Integer leader = leaders.get(g.id());
            final Member first = highestRanked(metadata, g);
            if (g.founded()
                    && leader != null
                    && first != null
                    && first.node() != leader
                    && steady.contains(first.node())
                    && Membership.find(g.members(), leader) != null
                    && g.membership().learners().isEmpty()) {
                return new Switchover(g.id(), leader, first.node());
            }
        }
        return null;
    }

    /**
     * The member of the greatest weight that does not retire, of equal weights the highest node number; null for none.
     */
    private static Member highestRanked(final ClusterMetadata metadata, final GroupInfo g) {
        Member first = null;
        for (final Member m : g.members()) {
            if (!metadata.retiring().contains(m.node())
                    && (first == null
                            || m.weight() > first.weight()
                            || (m.weight() == first.weight() && m.node() > first.node()))) {
                first = m;
            }
        }
        return first;
    }
}
