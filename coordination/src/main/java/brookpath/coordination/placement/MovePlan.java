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
 * Decides which replicas and leaderships are to move. The control leader calls it periodically; the planning tool calls
 * it too, to preview moves. Apart from the liveness of the nodes, the result is derived from the cluster metadata
 * alone, so that any control leader continues what another began; the memberships are the only state of a move.
 */
public final class MovePlan {
    /** The most groups whose replicas move at the same time, to bound the load on the other groups. */
    public static final int MAX_CONCURRENT_MOVES = 4;

    /** The gain of spreading a group over one more zone, in units of one replica of difference in load. */
    private static final int ZONE_GAIN = 100;

    /**
     * Ensures that a replica that shares its zone with another of the group is removed before one alone in its zone.
     */
    private static final int SHARED_ZONE_SCORE = 10_000;

    private static final int NO_NODE = 0;

    /**
     * A move of one replica of the group from one node to another.
     *
     * @param repair whether the move restores a replica that the group is missing or that is considered lost
     */
    public record Move(int group, int from, NodeInfo to, String reason, boolean repair) {
        Move(final int group, final int from, final NodeInfo to, final String reason) {
            this(group, from, to, reason, false);
        }

        @Override
        public String toString() {
            return "group " + group + ": a replica from node " + from + " to node " + to.node() + ", " + reason;
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

    /** A transfer of the group's leadership to its highest-ranking member. */
    public record Switchover(int group, int from, int to) {}

    /**
     * The plan to retire a storage node or to cancel its retirement: the resulting cluster metadata, and the findings
     * that rule it out, if any.
     */
    public record Retirement(ClusterMetadata metadata, List<Finding> findings) {}

    private MovePlan() {}

    /** Plans to retire a storage node, or with {@code on} false to cancel its retirement. */
    public static Retirement retire(
            final ClusterMetadata metadata, final int node, final boolean on, final Set<Integer> alive) {
        final List<Finding> findings = new ArrayList<>();
        if (metadata.node(node) == null) {
            findings.add(new Finding("/storages/" + node, "no such storage node"));
        }
        final List<Integer> retiring = new ArrayList<>(metadata.retiring());
        retiring.remove((Integer) node);
        if (on) {
            retiring.add(node);
        }
        final ClusterMetadata result = metadata.with(metadata.nodes(), metadata.groups(), retiring);
        for (final GroupInfo g : metadata.groups()) {
            if (on
                    && Membership.find(g.members(), node) != null
                    && Placement.replacementFor(result, g, node, alive) == null) {
                findings.add(new Finding(
                        "/groups/" + g.id(),
                        "no live storage node can replace node " + node
                                + "; the group would have fewer replicas than it was founded with"));
            }
        }
        return new Retirement(result, findings);
    }

    /** The cluster metadata after one step of a move by the group's leader; null if the move is complete. */
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
            final ClusterMetadata metadata, final Set<Integer> alive, final Set<Integer> steady, final int replicas) {
        return next(metadata, new StorageLiveness(alive, steady, Set.of()), replicas);
    }

    /** The moves that are due, one step each. */
    public static List<Move> next(final ClusterMetadata metadata, final StorageLiveness liveness, final int replicas) {
        final List<Move> moves = new ArrayList<>();
        // Moves in progress are completed first; otherwise, if the plan changed, many groups would be left with partly
        // moved replicas
        for (final GroupInfo g : metadata.groups()) {
            if (g.founded() && isMoving(g, replicas)) {
                final Move m = continueMove(metadata, g, liveness, replicas);
                if (m != null) {
                    moves.add(m);
                }
            }
        }
        // Groups that lack or lost a replica take priority over those with a replica on a retiring node
        beginMoves(metadata, liveness, replicas, liveness.lost, moves);
        beginMoves(metadata, liveness, replicas, metadata.retiring(), moves);
        if (moves.isEmpty()) {
            final Move m = rebalance(metadata, liveness.steady, replicas);
            if (m != null) {
                moves.add(m);
            }
        }
        return moves;
    }

    private static void beginMoves(
            final ClusterMetadata metadata,
            final StorageLiveness liveness,
            final int replicas,
            final Collection<Integer> nodesToLeave,
            final List<Move> moves) {
        for (final GroupInfo g : metadata.groups()) {
            final int leaving = findLeaving(g, nodesToLeave);
            final boolean alreadyMoving =
                    isMoving(g, replicas) || moves.stream().anyMatch(m -> m.group() == g.id());
            final boolean needsReplica = leaving != 0 || g.members().size() < replicas;
            if (moves.size() < MAX_CONCURRENT_MOVES && g.founded() && !alreadyMoving && needsReplica) {
                final NodeInfo to =
                        Placement.replacementFor(withMovesBegun(metadata, moves), g, leaving, liveness.alive);
                if (to != null) {
                    moves.add(replaceLeaving(liveness, g, leaving, to));
                }
            }
        }
    }

    /**
     * The cluster metadata as if the first step of the moves had been taken, so that the load of a node includes the
     * replicas that it is about to receive.
     */
    private static ClusterMetadata withMovesBegun(final ClusterMetadata metadata, final List<Move> moves) {
        ClusterMetadata result = metadata;
        for (final Move m : moves) {
            final ClusterMetadata next = after(result, m);
            result = next == null ? result : next;
        }
        return result;
    }

    private static Move replaceLeaving(
            final StorageLiveness liveness, final GroupInfo g, final int leaving, final NodeInfo to) {
        if (leaving == 0) {
            return new Move(g.id(), 0, to, "it has too few replicas", true);
        }
        final boolean repair = liveness.lost.contains(leaving);
        return new Move(
                g.id(), leaving, to, "node " + leaving + (repair ? " is considered lost" : " is retiring"), repair);
    }

    private static boolean isMoving(final GroupInfo g, final int replicas) {
        return g.members().size() > replicas || !g.membership().learners().isEmpty();
    }

    /** The voter to be removed: a lost one before a retiring one; 0 if there is none. */
    private static int findLeaving(final ClusterMetadata metadata, final GroupInfo g, final StorageLiveness liveness) {
        final int lost = findLeaving(g, liveness.lost);
        return lost != 0 ? lost : findLeaving(g, metadata.retiring());
    }

    private static int findLeaving(final GroupInfo g, final Collection<Integer> nodesToLeave) {
        for (final int node : nodesToLeave) {
            if (Membership.find(g.members(), node) != null) {
                return node;
            }
        }
        return 0;
    }

    /**
     * The next step for a group with a learner or with one voter too many: first the learner is promoted to a voter,
     * then the leaving voter is removed. A learner on a lost or retiring node is removed before that. Null if the step
     * has to wait.
     */
    private static Move continueMove(
            final ClusterMetadata metadata, final GroupInfo g, final StorageLiveness liveness, final int replicas) {
        for (final Member learner : g.membership().learners()) {
            final boolean lost = liveness.lost.contains(learner.node());
            if (lost || metadata.retiring().contains(learner.node())) {
                final NodeInfo stays = metadata.node(g.members().get(0).node());
                return new Move(
                        g.id(), learner.node(), stays, "its learner is on a node that is lost or retiring", lost);
            }
        }
        final int leaving = findLeaving(metadata, g, liveness);
        if (g.members().size() > replicas) {
            return removeExtraReplica(metadata, g, leaving);
        }
        final Move promotion = continueWithLearner(metadata, g, liveness, leaving, replicas);
        if (promotion != null) {
            return promotion;
        }
        final boolean needsReplica = leaving != NO_NODE || g.members().size() < replicas;
        final NodeInfo to = !needsReplica ? null : Placement.replacementFor(metadata, g, leaving, liveness.alive);
        return to == null ? null : replaceLeaving(liveness, g, leaving, to);
    }

    private static Move removeExtraReplica(final ClusterMetadata metadata, final GroupInfo g, final int leaving) {
        final int from = leaving != NO_NODE ? leaving : mostLoaded(metadata, g.members());
        final NodeInfo stays = metadata.node(g.members().stream()
                .map(Member::node)
                .filter(n -> n != from)
                .findFirst()
                .orElseThrow());
        return new Move(g.id(), from, stays, "it has one replica too many");
    }

    /** The next step for the first learner that is alive; null if there is none. */
    private static Move continueWithLearner(
            final ClusterMetadata metadata,
            final GroupInfo g,
            final StorageLiveness liveness,
            final int leaving,
            final int replicas) {
        for (final Member learner : g.membership().learners()) {
            final NodeInfo to = metadata.node(learner.node());
            if (to == null || !liveness.alive.contains(to.node())) {
                continue;
            }
            if (g.members().size() < replicas) {
                return new Move(
                        g.id(), NO_NODE, to, "it has too few replicas, and node " + to.node() + " is a learner", true);
            }
            final int from = leaving != NO_NODE ? leaving : mostLoaded(metadata, g.members());
            return new Move(
                    g.id(), from, to, "node " + to.node() + " is a learner already", liveness.lost.contains(leaving));
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
            final boolean sharesZone =
                    members.stream().filter(o -> o.zone().equals(m.zone())).count() > 1;
            final int score = load(metadata, m.node()) + (sharesZone ? SHARED_ZONE_SCORE : 0);
            if (score > bestScore) {
                bestScore = score;
                best = m.node();
            }
        }
        return best;
    }

    /**
     * A move that spreads the group over more zones, or one between two nodes whose loads differ by two replicas or
     * more; never one that spreads the group over fewer zones. Null if there is none.
     */
    private static Move rebalance(final ClusterMetadata metadata, final Set<Integer> steady, final int replicas) {
        Move best = null;
        // Moving a replica between nodes that differ by one only reverses the difference, so such moves would alternate
        // forever
        int bestGain = 1;
        for (final GroupInfo g : metadata.groups()) {
            if (!isMovable(g, steady, replicas)) {
                continue;
            }
            for (final NodeInfo to : metadata.nodes()) {
                if (!canReceive(metadata, g, to, steady)) {
                    continue;
                }
                for (final Member from : g.members()) {
                    final int zones = zonesGained(g, from, to);
                    final int gain = load(metadata, from.node()) - load(metadata, to.node()) + ZONE_GAIN * zones;
                    if (zones >= 0 && gain > bestGain) {
                        bestGain = gain;
                        best = new Move(g.id(), from.node(), to, rebalanceReason(metadata, from, to, zones));
                    }
                }
            }
        }
        return best;
    }

    /** Whether all members are present and steady; otherwise no replica is moved merely for balance. */
    private static boolean isMovable(final GroupInfo g, final Set<Integer> steady, final int replicas) {
        return g.founded()
                && g.members().size() == replicas
                && steady.containsAll(g.members().stream().map(Member::node).toList());
    }

    private static boolean canReceive(
            final ClusterMetadata metadata, final GroupInfo g, final NodeInfo to, final Set<Integer> steady) {
        return steady.contains(to.node())
                && !metadata.retiring().contains(to.node())
                && !g.membership().holds(to.node());
    }

    private static int zonesGained(final GroupInfo g, final Member from, final NodeInfo to) {
        return zones(g, from.node(), to.zone()) - zones(g, NO_NODE, "");
    }

    private static String rebalanceReason(
            final ClusterMetadata metadata, final Member from, final NodeInfo to, final int zonesGained) {
        return zonesGained > 0
                ? "its replicas are in fewer zones than possible"
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
     * The switchover for the first group whose highest-ranking member is steady and not the leader; null if there is no
     * such group.
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
     * The member with the greatest weight that is not retiring, of equal weights that with the highest node number;
     * null if there is none.
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
