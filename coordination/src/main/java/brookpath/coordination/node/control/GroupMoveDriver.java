package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.MoveOrder;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.placement.MovePlan;
import brookpath.coordination.placement.StorageFailureDetector;
import brookpath.state.record.PackedBuffer;
import java.util.Set;
import java.util.TreeMap;

/**
 * Drives on the moves of topic groups that {@link MovePlan} names, and hands masterships back to the members that rank
 * first. Orders are sent to the groups' members again and again; nothing here is replicated.
 */
public final class GroupMoveDriver {
    /** The request ID of a request that wants no reply. */
    private static final long NO_REPLY = 0;

    private final ControlView view;
    private final ConfigurationLeaseGranter leases;
    private final int copies;
    private final TimingBounds timing;
    private final Actions out;
    private long nextMove = Long.MIN_VALUE / 2;
    /** What the last plan of moves was made for; it is made anew when either changes. */
    private long plannedVersion = -1;

    private Set<Integer> plannedLost = Set.of();
    private long nextSwitchover = Long.MIN_VALUE / 2;
    /** The node that reported last that it leads the group, by group. */
    private final TreeMap<Integer, Integer> leaders = new TreeMap<>();

    /** @param copies of each group */
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

    /** A node has reported that it leads a group. */
    public void onLeaderReported(final int group, final int node) {
        leaders.put(group, node);
    }

    /** What a leader knows and its successor must learn anew. */
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
        // One at a time, each with time to settle; a handing over that fails costs its group a moment
        nextSwitchover = now + timing.recoverMs() / 2;
        leaders.remove(s.group());
        out.note("group " + s.group() + ": asks node " + s.from() + " to hand over to node " + s.to()
                + ", which ranks first");
        final byte[] body = PackedBuffer.writer().num(s.group()).num(s.to()).done();
        out.send(s.from(), ControlRequestKind.HANDOVER.request(NO_REPLY, body));
    }

    private void recordLost(final Set<Integer> lost) {
        if (!lost.equals(plannedLost)) {
            plannedLost = lost;
            out.note("storage machines taken for gone: " + lost);
        }
    }

    /** Tells all members, of whom the group's leader obeys. */
    private void order(final ClusterMetadata metadata, final MovePlan.Move m) {
        final GroupInfo info = metadata.groups().get(m.group());
        final byte[] body =
                new MoveOrder(m.group(), info.version(), m.from(), m.to().node(), m.to().zone(), m.repair()).save();
        info.members().forEach(to -> out.send(to.node(), ControlRequestKind.MOVE.request(NO_REPLY, body)));
    }
}
