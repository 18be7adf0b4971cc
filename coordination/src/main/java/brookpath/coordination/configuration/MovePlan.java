package brookpath.coordination.configuration;

import brookpath.coordination.configuration.ClusterMetadata.GroupInfo;
import brookpath.coordination.configuration.ClusterMetadata.NodeInfo;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which copies are to move, and which masterships: asked by the controller again and again, and by the planner, which
 * changes nothing. It follows from the cluster metadata alone, so that any control leader goes on with what another
 * began; nothing of a move is kept but the memberships themselves.
 */
public final class MovePlan {
    /** Groups whose copies move at the same time, so that the others are not slowed. */
    public static final int MOST = 4;

    /**
     * A copy of the group goes from one node to another.
     *
     * @param repair the one that leaves is taken for gone
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
     * What the control leader has heard of the storage machines.
     *
     * @param alive heard lately
     * @param steady those among them that have been heard for so long that it is worth moving something to them
     * @param gone silent for so long that their copies are to be made elsewhere
     */
    public record Heard(Set<Integer> alive, Set<Integer> steady, Set<Integer> gone) {}

    /** The group's leadership goes to a member that ranks higher. */
    public record Switchover(int group, int from, int to) {}

    /** What retiring a machine, or keeping it after all, comes to: the cluster metadata then, or why not. */
    public record Retirement(ClusterMetadata then, List<Finding> findings) {}

    private MovePlan() {}

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
            if (on && Membership.find(g.members(), node) != null && Placement.instead(then, g, node, alive) == null) {
                findings.add(new Finding(
                        "/groups/" + g.id(),
                        "no live storage machine can take the place of node " + node
                                + "; the group would have fewer copies than it was founded with"));
            }
        }
        return new Retirement(then, findings);
    }

    /**
     * The cluster metadata after one step of a move, as the group's leader takes it; null where nothing is left of it.
     */
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

    /** The moves to be driven on now, one step each, where no machine is taken for gone. */
    public static List<Move> next(
            final ClusterMetadata metadata, final Set<Integer> alive, final Set<Integer> steady, final int copies) {
        return next(metadata, new Heard(alive, steady, Set.of()), copies);
    }

    /** The moves to be driven on now, one step each. */
    public static List<Move> next(final ClusterMetadata metadata, final Heard heard, final int copies) {
        final List<Move> moves = new ArrayList<>();
        // why: what has begun is ended first, else a change of plans would leave copies half moved everywhere
        for (final GroupInfo g : metadata.groups()) {
            if (g.founded() && underWay(g, copies)) {
                final Move m = goOn(metadata, g, heard, copies);
                if (m != null) {
                    moves.add(m);
                }
            }
        }
        // why: a group that is a copy short comes before one whose copy only has to go elsewhere
        begin(metadata, heard, copies, heard.gone, moves);
        begin(metadata, heard, copies, metadata.retiring(), moves);
        if (moves.isEmpty()) {
            final Move m = spread(metadata, heard.steady, copies);
            if (m != null) {
                moves.add(m);
            }
        }
        return moves;
    }

    private static void begin(
            final ClusterMetadata metadata,
            final Heard heard,
            final int copies,
            final Collection<Integer> leavers,
            final List<Move> moves) {
        for (final GroupInfo g : metadata.groups()) {
            final int leaving = leaving(g, leavers);
            final boolean begun = underWay(g, copies) || moves.stream().anyMatch(m -> m.group() == g.id());
            final boolean wanted = leaving != 0 || g.members().size() < copies;
            if (moves.size() < MOST && g.founded() && !begun && wanted) {
                final NodeInfo to = Placement.instead(planned(metadata, moves), g, leaving, heard.alive);
                if (to != null) {
                    moves.add(leave(heard, g, leaving, to));
                }
            }
        }
    }

    /** The cluster metadata with the moves begun, so that machines that are about to get a copy count as fuller. */
    private static ClusterMetadata planned(final ClusterMetadata metadata, final List<Move> moves) {
        ClusterMetadata then = metadata;
        for (final Move m : moves) {
            final ClusterMetadata next = after(then, m);
            then = next == null ? then : next;
        }
        return then;
    }

    private static Move leave(final Heard heard, final GroupInfo g, final int leaving, final NodeInfo to) {
        if (leaving == 0) {
            return new Move(g.id(), 0, to, "it is a copy short", true);
        }
        final boolean repair = heard.gone.contains(leaving);
        return new Move(g.id(), leaving, to, "node " + leaving + (repair ? " is gone" : " retires"), repair);
    }

    private static boolean underWay(final GroupInfo g, final int copies) {
        return g.members().size() > copies || !g.membership().learners().isEmpty();
    }

    /** The voter that leaves: one that is gone before one that retires; 0 for none. */
    private static int leaving(final ClusterMetadata metadata, final GroupInfo g, final Heard heard) {
        final int gone = leaving(g, heard.gone);
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
     * A group with a learner, or with one voter too many: who learns becomes a voter, then the one that leaves is let
     * go. A learner that leaves itself goes first.
     */
    private static Move goOn(final ClusterMetadata metadata, final GroupInfo g, final Heard heard, final int copies) {
        for (final Member learner : g.membership().learners()) {
            final boolean gone = heard.gone.contains(learner.node());
            if (gone || metadata.retiring().contains(learner.node())) {
                final NodeInfo stays = metadata.node(g.members().get(0).node());
                return new Move(g.id(), learner.node(), stays, "it learns, and leaves before it is done", gone);
            }
        }
        final int retires = leaving(metadata, g, heard);
        if (g.members().size() > copies) {
            final int from = retires != 0 ? retires : mostLoaded(metadata, g.members());
            final NodeInfo stays = metadata.node(g.members().stream()
                    .map(Member::node)
                    .filter(n -> n != from)
                    .findFirst()
                    .orElseThrow());
            return new Move(g.id(), from, stays, "it has a copy more than it needs");
        }
        for (final Member learner : g.membership().learners()) {
            final NodeInfo to = metadata.node(learner.node());
            if (to != null && heard.alive.contains(to.node()) && g.members().size() < copies) {
                return new Move(g.id(), 0, to, "it is a copy short, and node " + to.node() + " learns it", true);
            }
            if (to != null && heard.alive.contains(to.node())) {
                return new Move(
                        g.id(),
                        retires != 0 ? retires : mostLoaded(metadata, g.members()),
                        to,
                        "node " + to.node() + " learns it already",
                        heard.gone.contains(retires));
            }
        }
        final boolean wanted = retires != 0 || g.members().size() < copies;
        final NodeInfo to = !wanted ? null : Placement.instead(metadata, g, retires, heard.alive);
        return to == null ? null : leave(heard, g, retires, to);
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
            final int score = load(metadata, m.node()) + (zoneTwice ? 10_000 : 0);
            if (score > bestScore) {
                bestScore = score;
                best = m.node();
            }
        }
        return best;
    }

    /**
     * One move that makes the spread over machines better by two, and the spread over zones no worse; null where there
     * is none.
     */
    private static Move spread(final ClusterMetadata metadata, final Set<Integer> steady, final int copies) {
        Move best = null;
        int bestGain = 1;
        for (final GroupInfo g : metadata.groups()) {
            if (!g.founded()
                    || g.members().size() != copies
                    || !steady.containsAll(
                            g.members().stream().map(Member::node).toList())) {
                // why: with a member away no copy is moved for mere looks
                continue;
            }
            for (final NodeInfo to : metadata.nodes()) {
                if (!steady.contains(to.node())
                        || metadata.retiring().contains(to.node())
                        || g.membership().holds(to.node())) {
                    continue;
                }
                for (final Member from : g.members()) {
                    final int zones = zones(g, from.node(), to.zone()) - zones(g, 0, "");
                    // why: a difference of one would only swap sides, so such moves would go to and fro
                    final int gain = load(metadata, from.node()) - load(metadata, to.node()) + 100 * zones;
                    if (zones >= 0 && gain > bestGain) {
                        bestGain = gain;
                        best = new Move(
                                g.id(),
                                from.node(),
                                to,
                                zones > 0
                                        ? "its copies lie in fewer zones than they could"
                                        : "node " + from.node() + " holds " + load(metadata, from.node())
                                                + " groups, node " + to.node() + " " + load(metadata, to.node()));
                    }
                }
            }
        }
        return best;
    }

    private static int zones(final GroupInfo g, final int without, final String with) {
        final java.util.Set<String> zones = new java.util.HashSet<>();
        g.members().stream().filter(m -> m.node() != without).forEach(m -> zones.add(m.zone()));
        if (!with.isEmpty()) {
            zones.add(with);
        }
        return zones.size();
    }

    /**
     * The first group whose leader is not its highest rank, though that one is steady; null where all is as the weights
     * spread it.
     */
    public static Switchover switchover(
            final ClusterMetadata metadata, final Map<Integer, Integer> leaders, final Set<Integer> steady) {
        for (final GroupInfo g : metadata.groups()) {
            final Integer leader = leaders.get(g.id());
            Member first = null;
            for (final Member m : g.members()) {
                if (!metadata.retiring().contains(m.node())
                        && (first == null
                                || m.weight() > first.weight()
                                || (m.weight() == first.weight() && m.node() > first.node()))) {
                    first = m;
                }
            }
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
}
