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
 * Keeps the cluster metadata up, as a duty of the control leader: which machines there are, where the topic groups lie,
 * and who their members are. Each step is a record of the control log.
 */
public final class ClusterMetadataUpdater {
    private final NodeInfo info;
    private final GroupMachine group;
    private final ControlView view;
    private final ConfigurationLeaseGranter leases;
    private final GroupBootstrap bootstrap;
    private final TimingBounds timing;

    /** @param info this controller as others see it */
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

    /** Appends what has changed: machines that came, moved or went, the control group's members, the first groups. */
    public void update(final Time time) {
        if (!group.tellsMembers()) {
            // From here on the log says who the members are, also to one that comes back with other seeds than the
            // founders
            final Membership present = group.membership();
            group.change(new Membership(present.version() + 1, present.voters(), List.of()), time.mono(), time.wall());
            return;
        }
        final ClusterMetadata metadata = view.newestMetadata();
        final List<NodeInfo> nodes = new ArrayList<>(metadata.nodes());
        final List<NodeInfo> controllers = new ArrayList<>(metadata.controllers());
        final List<Integer> retiring = new ArrayList<>(metadata.retiring());
        boolean changed = take(controllers, info, retiring);
        for (final NodeInfo storage : leases.storageNodes()) {
            changed |= take(nodes, storage, retiring);
        }
        for (final NodeInfo controller : leases.controllers()) {
            changed |= take(controllers, controller, retiring);
        }
        changed |= group.membershipSettled()
                && metadata.control().version() < group.membership().version();
        List<GroupInfo> groups = metadata.groups();
        if (groups.isEmpty() && mayFound(nodes.size(), time.mono())) {
            groups = Placement.initial(
                    nodes, bootstrap.groups() > 0 ? bootstrap.groups() : nodes.size(), bootstrap.replicas());
            changed = true;
        }
        if (changed) {
            controllers.removeIf(b -> isGone(b, time.mono()));
            append(
                    new ClusterMetadata(
                            metadata.version() + 1,
                            List.copyOf(nodes),
                            groups,
                            List.copyOf(retiring),
                            List.copyOf(controllers),
                            group.membershipSettled() ? group.membership() : metadata.control()),
                    time);
        }
    }

    private boolean mayFound(final int storages, final long now) {
        return storages >= bootstrap.storageNodes()
                && (bootstrap.groups() > 0 || now - leases.newProcessSeenAt() >= timing.changeMs() / 2);
    }

    /** Not a member, and not heard for long: nobody needs to know of it any more. */
    private boolean isGone(final NodeInfo controller, final long now) {
        return controller.node() != info.node()
                && now - leases.leadingSince() > timing.recoverMs()
                && !leases.nodes().contains(controller.node())
                && !group.membership().holds(controller.node());
    }

    /**
     * True where the node is a new one, or is somewhere else now. What was said of a machine before it says nothing.
     */
    private static boolean take(final List<NodeInfo> nodes, final NodeInfo info, final List<Integer> retiring) {
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

    /** A group's leader tells that its group has been founded. */
    public void onGroupFounded(final ControlRequest request, final Time time) {
        final int id = (int) PackedBuffer.reader(request.body()).num();
        final ClusterMetadata metadata = view.newestMetadata();
        for (final GroupInfo g : metadata.groups()) {
            if (g.id() == id && !g.founded()) {
                append(metadata.with(new GroupInfo(id, true, g.membership())), time);
            }
        }
    }

    /** A group's leader tells the membership that its log has committed. */
    public void onMembershipCommitted(final ControlRequest request, final Time time) {
        final PackedBuffer in = PackedBuffer.reader(request.body());
        final int id = (int) in.num();
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
