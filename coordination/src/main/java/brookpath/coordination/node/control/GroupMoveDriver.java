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
 * Drives the moves of topic groups that {@link MovePlan} decides, and returns leaderships to the members that rank
 * first. Orders to the groups' members are repeated until they have taken effect; nothing here is replicated.
 */
public final class GroupMoveDriver {
    /** The request ID of a request without a reply. */
    private static final long NO_REPLY = 0;

    private final ControlView view;
    private final ConfigurationLeaseGranter leases;
    private final int copies;
    private final TimingBounds timing;
    private final Actions out;
    private long nextMove = Long.MIN_VALUE / 2;
    /** The inputs of the last plan of moves; a change of either makes a new plan. */
    private long plannedVersion = -1;

    private Set<Integer> plannedLost = Set.of();
    private long nextSwitchover = Long.MIN_VALUE / 2;
    /** The node that last reported that it leads the group, by group ID. */
    private final TreeMap<Integer, Integer> leaders = new TreeMap<>();

    /** @param copies the number of replicas of each group */
    public GroupMoveDriver(
            final ControlView view,
            final ConfigurationLeaseGranter leases,
            final int copies,
            final TimingBounds timing,
            final Actions out) {
        this.view = view;
        this.leases = leases;
        this.copies = copies;
        this.timing = timing;
        this.out = out;
    }

    /** Records the report of a node that it leads a group. */
    public void onLeaderReported(final int group, final int node) {
        leaders.put(group, node);
    }

    /** Discards all state when the leadership ends; a successor rebuilds its own. */
    public void clear() {
        leaders.clear();
        plannedLost = Set.of();
    }

    /** Orders the moves that are due, and at most one switchover. */
    public void orderDue(final long now) {
        final ClusterMetadata metadata = view.metadata();
        final StorageFailureDetector detector =
                new StorageFailureDetector(timing, metadata, leases.storageNodesHeardAt(), now);
        final Set<Integer> lost = detector.lost(leases.leadingSince(), plannedLost);
        if (now < nextMove && metadata.version() == plannedVersion && lost.equals(plannedLost)) {
            return;
        }
        nextMove = now + timing.heartbeat();
        plannedVersion = metadata.version();
        recordLost(lost);
        final MovePlan.StorageLiveness liveness =
                new MovePlan.StorageLiveness(detector.alive(), leases.steadyStorageNodes(now), lost);
        MovePlan.next(metadata, liveness, copies).forEach(m -> order(metadata, m));
        if (now >= nextSwitchover) {
            switchover(metadata, now);
        }
    }

    private void switchover(final ClusterMetadata metadata, final long now) {
        final MovePlan.Switchover s = MovePlan.switchover(metadata, leaders, leases.steadyStorageNodes(now));
        if (s == null) {
            return;
        }
        // One at a time, with an interval between them: a failed leadership transfer interrupts its group briefly
        nextSwitchover = now + timing.recoverMs() / 2;
        leaders.remove(s.group());
        out.note("group " + s.group() + ": asks node " + s.from() + " to hand over to node " + s.to()
                + ", which ranks first");
        final byte[] body =
                PackedBuffer.writer().putLong(s.group()).putLong(s.to()).toByteArray();
        out.send(s.from(), ControlRequestKind.HANDOVER.request(NO_REPLY, body));
    }

    private void recordLost(final Set<Integer> lost) {
        if (!lost.equals(plannedLost)) {
            plannedLost = lost;
            out.note("storage machines taken for gone: " + lost);
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
