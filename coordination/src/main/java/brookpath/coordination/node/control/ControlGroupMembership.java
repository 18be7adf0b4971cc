package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.group.MembershipPlan;
import brookpath.coordination.group.MembershipPlan.Candidate;
import brookpath.coordination.group.MembershipPlan.Limits;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Maintains the control group's membership: monitors which members respond, and as the acting leader appends the steps
 * that {@link MembershipPlan} decides.
 */
public final class ControlGroupMembership {
    /** When the monitoring of a member began, and when it last failed to respond. */
    private static final class Responsiveness {
        final long monitoredSince;
        long unresponsiveAt;

        Responsiveness(final long now) {
            monitoredSince = now;
            unresponsiveAt = now;
        }
    }

    private final int self;
    private final GroupMachine group;
    private final Limits limits;
    private final long steadyMs;
    private final TreeMap<Integer, Responsiveness> responsiveness = new TreeMap<>();

    public ControlGroupMembership(
            final int self, final GroupMachine group, final TimingBounds timing, final int toleratedLosses) {
        this.self = self;
        this.group = group;
        // The replacement of a lost controller may soon be lost itself; timing.md has the calculation of these limits
        limits = new Limits(Limits.votersFor(toleratedLosses), timing.changeMs() * 4 / 5, timing.recoverMs());
        steadyMs = 2 * timing.recoverMs();
    }

    /**
     * Records which members respond. Every member does so, so that a new leader knows at once how long each has been
     * silent.
     */
    public void recordResponsiveness(final HeartbeatTable table, final long now) {
        final Membership membership = group.membership();
        responsiveness.keySet().removeIf(node -> !membership.holds(node));
        members().forEach(m -> {
            final Responsiveness state = responsiveness.computeIfAbsent(m.node(), node -> new Responsiveness(now));
            if (m.node() != self && !table.up(m.node())) {
                state.unresponsiveAt = now;
            }
        });
    }

    private Stream<Member> members() {
        return Stream.concat(group.membership().voters().stream(), group.membership().learners().stream());
    }

    /**
     * Appends the next step of a membership change if one is due; returns whether it did.
     *
     * @param observers controllers outside the group that have polled this leader lately
     * @param zones the zone of each known controller, by node number
     */
    public boolean advance(
            final HeartbeatTable table,
            final List<NodeInfo> observers,
            final Map<Integer, String> zones,
            final long now,
            final long wall) {
        if (!group.membershipSettled()) {
            return false;
        }
        final List<Candidate> candidates = new ArrayList<>();
        members().forEach(m -> candidates.add(candidate(m, table, zones.getOrDefault(m.node(), m.zone()), now)));
        observers.stream()
                .filter(o -> !group.membership().holds(o.node()))
                .forEach(o -> candidates.add(new Candidate(o.node(), o.zone(), 0, false, false)));
        final Membership next = MembershipPlan.next(group.membership(), self, limits, candidates);
        return next != null && group.change(next, now, wall);
    }

    private Candidate candidate(final Member m, final HeartbeatTable table, final String zone, final long now) {
        final Responsiveness state = responsiveness.get(m.node());
        if (m.node() == self || state == null) {
            return new Candidate(m.node(), zone, 0, false, m.node() == self);
        }
        final HeartbeatTable.Row row = table.row(m.node());
        final long heardAt = row == null ? state.monitoredSince : Math.max(state.monitoredSince, row.answeredSentAt());
        final boolean synced = table.up(m.node()) && group.learnerSyncedIndex(m.node()) >= group.committed();
        return new Candidate(m.node(), zone, now - heardAt, synced, now - state.unresponsiveAt >= steadyMs);
    }
}
