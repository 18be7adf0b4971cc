package brookpath.tools.plan;

import brookpath.coordination.group.Membership;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.placement.MovePlan;
import java.util.List;
import java.util.Set;

/** Reports which groups would move, and where to, if a storage node were retired. */
final class RetirementPlan {
    private static final int MAX_STEPS = 10_000;
    /** Without steady nodes no group is moved for balance alone, which is not part of the retirement. */
    private static final Set<Integer> NO_STEADY_NODES = Set.of();

    private final PlanReport report;
    private final Set<Integer> liveNodes;
    private final int replicas;

    RetirementPlan(final StatusPages pages, final PlanReport report) {
        this.report = report;
        liveNodes = pages.liveStorageNodes();
        replicas = pages.replicas();
    }

    /** Reports each step, and then the number of groups that each storage node holds. */
    void report(final int node, final ClusterMetadata metadata) {
        final MovePlan.Retirement retirement = MovePlan.retire(metadata, node, true, liveNodes);
        report.objectAll(retirement.findings());
        if (report.isRefused()) {
            return;
        }
        final ClusterMetadata end = reportSteps(retirement.metadata());
        for (final NodeInfo storageNode : end.nodes()) {
            report.print("then node " + storageNode.node() + " in zone " + storageNode.zone() + " holds "
                    + groupsOn(storageNode.node(), end) + " groups, previously "
                    + groupsOn(storageNode.node(), metadata));
        }
    }

    private ClusterMetadata reportSteps(final ClusterMetadata start) {
        ClusterMetadata current = start;
        int step = 0;
        List<MovePlan.Move> moves = nextMoves(current);
        while (!moves.isEmpty() && step < MAX_STEPS) {
            for (final MovePlan.Move move : moves) {
                final ClusterMetadata next = MovePlan.after(current, move);
                if (next != null) {
                    step++;
                    report.print(
                            "step " + step + ": " + describe(current.groups().get(move.group()), move));
                    current = next;
                }
            }
            moves = nextMoves(current);
        }
        return current;
    }

    private List<MovePlan.Move> nextMoves(final ClusterMetadata metadata) {
        return MovePlan.next(metadata, liveNodes, NO_STEADY_NODES, replicas);
    }

    private static String describe(final GroupInfo group, final MovePlan.Move move) {
        return "group " + group.id() + ": " + describeStep(group.membership(), move) + "; " + move.reason();
    }

    private static String describeStep(final Membership membership, final MovePlan.Move move) {
        final int target = move.to().node();
        if (!membership.holds(target)) {
            return "node " + target + " becomes a learner";
        }
        return Membership.find(membership.learners(), target) != null
                ? "node " + target + " becomes a voter"
                : "node " + move.from() + " is removed from the group";
    }

    private static long groupsOn(final int node, final ClusterMetadata metadata) {
        return metadata.groups().stream()
                .filter(group -> group.membership().holds(node))
                .count();
    }
}
