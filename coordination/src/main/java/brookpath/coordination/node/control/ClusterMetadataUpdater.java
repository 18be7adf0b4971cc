package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.placement.Placement;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Maintains the cluster metadata as a duty of the control leader: the nodes, the placement of the topic groups, and
 * their members. Each step is a record of the control log.
 */
public final class ClusterMetadataUpdater {
    private final NodeInfo info;
    private final GroupMachine group;
    private final ControlView view;
    private final ConfigurationLeaseGranter leases;
    private final GroupBootstrap bootstrap;
    private final TimingBounds timing;

    /** @param info this controller as peers see it */
    public ClusterMetadataUpdater(
            final NodeInfo info,
            final GroupMachine group,
            final ControlView view,
            final ConfigurationLeaseGranter leases,
            final GroupBootstrap bootstrap,
            final TimingBounds timing) {
        this.info = info;
        this.group = group;
        this.view = view;
        this.leases = leases;
        this.bootstrap = bootstrap;
        this.timing = timing;
    }

    /**
     * Appends a new version of the cluster metadata if nodes joined, moved or left, the control group's members
     * changed, or the groups can be founded.
     */
    public void update(final Time time) {
        if (!group.hasMembershipInLog()) {
            // Records the members in the log, so that a controller that restarts with seed nodes other than the
            // founding ones finds them
            final Membership current = group.membership();
            group.change(new Membership(current.version() + 1, current.voters(), List.of()), time.mono(), time.wall());
            return;
        }
        final ClusterMetadata metadata = view.newestMetadata();
        final List<NodeInfo> nodes = new ArrayList<>(metadata.nodes());
        final List<NodeInfo> controllers = new ArrayList<>(metadata.controllers());
        final List<Integer> retiring = new ArrayList<>(metadata.retiring());
        final boolean nodesChanged = addPolledProcesses(nodes, controllers, retiring);
        final boolean membershipChanged = group.membershipSettled()
                && metadata.control().version() < group.membership().version();
        final boolean foundsGroups = metadata.groups().isEmpty() && canFoundGroups(nodes.size(), time.mono());
        if (nodesChanged || membershipChanged || foundsGroups) {
            controllers.removeIf(controller -> isGone(controller, time.mono()));
            append(
                    new ClusterMetadata(
                            metadata.version() + 1,
                            List.copyOf(nodes),
                            foundsGroups ? initialGroups(nodes) : metadata.groups(),
                            List.copyOf(retiring),
                            List.copyOf(controllers),
                            group.membershipSettled() ? group.membership() : metadata.control()),
                    time);
        }
    }

    /** Adds this controller and all processes that polled; returns true if one is new or has changed. */
    private boolean addPolledProcesses(
            final List<NodeInfo> nodes, final List<NodeInfo> controllers, final List<Integer> retiring) {
        boolean changed = addOrUpdate(controllers, info, retiring);
        for (final NodeInfo storage : leases.storageNodes()) {
            changed |= addOrUpdate(nodes, storage, retiring);
        }
        for (final NodeInfo controller : leases.controllers()) {
            changed |= addOrUpdate(controllers, controller, retiring);
        }
        return changed;
    }

    private List<GroupInfo> initialGroups(final List<NodeInfo> nodes) {
        final int groups = bootstrap.groups() > 0 ? bootstrap.groups() : nodes.size();
        return Placement.initial(nodes, groups, bootstrap.replicas());
    }

    private boolean canFoundGroups(final int storageNodeCount, final long now) {
        return storageNodeCount >= bootstrap.storageNodes()
                && (bootstrap.groups() > 0 || now - leases.newProcessSeenAt() >= timing.changeMs() / 2);
    }

    /** Whether the controller is not a member and has been silent for so long that it can be removed. */
    private boolean isGone(final NodeInfo controller, final long now) {
        return controller.node() != info.node()
                && now - leases.leadingSince() > timing.recoverMs()
                && !leases.nodes().contains(controller.node())
                && !group.membership().holds(controller.node());
    }

    /**
     * Adds or updates a node; returns true if it is new or has changed. An order to retire a machine does not apply to
     * the machine that takes over its node number.
     */
    private static boolean addOrUpdate(final List<NodeInfo> nodes, final NodeInfo info, final List<Integer> retiring) {
        if (nodes.contains(info)) {
            return false;
        }
        if (nodes.stream().anyMatch(info::replaces)) {
            retiring.remove((Integer) info.node());
        }
        nodes.removeIf(n -> n.node() == info.node());
        nodes.add(info);
        return true;
    }

    private void append(final ClusterMetadata metadata, final Time time) {
        group.append(LogRecord.CONTROL, ControlState.metadataBody(metadata), time.mono(), time.wall());
    }

    /** Handles the report of a group's leader that the group has been founded. */
    public void onGroupFounded(final ControlRequest request, final Time time) {
        final int id = (int) PackedBuffer.reader(request.body()).getLong();
        final ClusterMetadata metadata = view.newestMetadata();
        for (final GroupInfo g : metadata.groups()) {
            if (g.id() == id && !g.founded()) {
                append(metadata.with(new GroupInfo(id, true, g.membership())), time);
            }
        }
    }

    /** Handles the report of a group's leader on the membership that its log has committed. */
    public void onMembershipCommitted(final ControlRequest request, final Time time) {
        final PackedBuffer in = PackedBuffer.reader(request.body());
        final int id = (int) in.getLong();
        final Membership membership = Membership.load(in);
        final ClusterMetadata metadata = view.newestMetadata();
        if (id < 0
                || id >= metadata.groups().size()
                || metadata.groups().get(id).version() >= membership.version()) {
            return;
        }
        append(metadata.with(new GroupInfo(id, metadata.groups().get(id).founded(), membership)), time);
    }
}
