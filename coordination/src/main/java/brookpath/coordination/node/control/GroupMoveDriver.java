package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.MoveOrder;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.placement.MovePlan;
import brookpath.coordination.placement.StorageFailureDetector;
import brookpath.state.record.PackedBuffer;
import java.util.Set;
import java.util.TreeMap;

/**
 * Carries out the moves of topic groups that {@link MovePlan} decides, and returns leaderships to the highest-ranking
 * members. Orders to the groups' members are repeated until they have taken effect; nothing here is replicated.
 */
public final class GroupMoveDriver {
    /** The request ID of a request without a reply. */
    private static final long NO_REPLY = 0;

    private final ControlView view;
    private final ConfigurationLeaseGranter leases;
    private final int replicas;
    private final TimingBounds timing;
    private final Actions out;
    private long nextPlanAt = Long.MIN_VALUE / 2;
    /** The inputs of the last plan; moves are planned anew as soon as either changes. */
    private long plannedVersion = -1;

    private Set<Integer> plannedLost = Set.of();
    private long nextSwitchoverAt = Long.MIN_VALUE / 2;
    /** The node that last reported that it leads the group, by group ID. */
    private final TreeMap<Integer, Integer> reportedLeaders = new TreeMap<>();

    /** @param replicas the number of replicas of each group */
    public GroupMoveDriver(
            final ControlView view,
            final ConfigurationLeaseGranter leases,
            final int replicas,
            final TimingBounds timing,
            final Actions out) {
        this.view = view;
        this.leases = leases;
        this.replicas = replicas;
        this.timing = timing;
        this.out = out;
    }

    /** Records the report of a node that it leads a group. */
    public void onLeaderReported(final int group, final int node) {
        reportedLeaders.put(group, node);
    }

    /** Discards all state when the leadership ends; a successor rebuilds its own. */
    public void clear() {
        reportedLeaders.clear();
        plannedLost = Set.of();
    }

    /** Orders the moves that are due, and at most one switchover. */
    public void orderDueMoves(final long now) {
        final ClusterMetadata metadata = view.metadata();
        final StorageFailureDetector detector =
                new StorageFailureDetector(timing, metadata, leases.storageNodesHeardAt(), now);
        final Set<Integer> lost = detector.lost(leases.leadingSince(), plannedLost);
        if (now < nextPlanAt && metadata.version() == plannedVersion && lost.equals(plannedLost)) {
            return;
        }
        nextPlanAt = now + timing.heartbeat();
        plannedVersion = metadata.version();
        recordLost(lost);
        final MovePlan.StorageLiveness liveness =
                new MovePlan.StorageLiveness(detector.alive(), leases.steadyStorageNodes(now), lost);
        MovePlan.next(metadata, liveness, replicas).forEach(m -> order(metadata, m));
        if (now >= nextSwitchoverAt) {
            switchover(metadata, now);
        }
    }

    private void switchover(final ClusterMetadata metadata, final long now) {
        final MovePlan.Switchover s = MovePlan.switchover(metadata, reportedLeaders, leases.steadyStorageNodes(now));
        if (s == null) {
            return;
        }
        // One at a time, with an interval between them: a failed leadership transfer interrupts its group briefly
        nextSwitchoverAt = now + timing.recoverMs() / 2;
        reportedLeaders.remove(s.group());
        out.note("group " + s.group() + ": requesting a leadership transfer from node " + s.from() + " to node "
                + s.to() + ", the highest-ranking member");
        final byte[] body =
                PackedBuffer.writer().putLong(s.group()).putLong(s.to()).toByteArray();
        out.send(s.from(), ControlRequestKind.HANDOVER.request(NO_REPLY, body));
    }

    private void recordLost(final Set<Integer> lost) {
        if (!lost.equals(plannedLost)) {
            plannedLost = lost;
            out.note("storage nodes considered lost: " + lost);
        }
    }

    /** Sends the order to all members; only the group's leader executes it. */
    private void order(final ClusterMetadata metadata, final MovePlan.Move m) {
        final GroupInfo info = metadata.groups().get(m.group());
        final byte[] body =
                new MoveOrder(m.group(), info.version(), m.from(), m.to().node(), m.to().zone(), m.repair()).save();
        info.members().forEach(to -> out.send(to.node(), ControlRequestKind.MOVE.request(NO_REPLY, body)));
    }
}
