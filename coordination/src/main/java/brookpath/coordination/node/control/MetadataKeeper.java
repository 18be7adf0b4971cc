package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.ClusterMetadata;
import brookpath.coordination.configuration.ClusterMetadata.GroupInfo;
import brookpath.coordination.configuration.ClusterMetadata.NodeInfo;
import brookpath.coordination.configuration.ControlState;
import brookpath.coordination.configuration.Placement;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.node.Node.Time;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the cluster metadata up, as a duty of the control leader: which machines there are, where the topic groups lie,
 * and who their members are. Each step is a record of the control log.
 */
public final class MetadataKeeper {
    private final NodeInfo info;
    private final GroupMachine group;
    private final ControlView view;
    private final PollRegistry polls;
    private final Founding founding;
    private final TimingBounds timing;

    /** @param info this controller as others are told of it */
    public MetadataKeeper(
            final NodeInfo info,
            final GroupMachine group,
            final ControlView view,
            final PollRegistry polls,
            final Founding founding,
            final TimingBounds timing) {
        this.info = info;
        this.group = group;
        this.view = view;
        this.polls = polls;
        this.founding = founding;
        this.timing = timing;
    }

    /** Appends what has changed: machines that came, moved or went, the control group's members, the first groups. */
    public void update(final Time time) {
        if (!group.tellsMembers()) {
            // why: from here on the log says who the members are, also to one that comes back with other seeds than the
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
        for (final NodeInfo storage : polls.storages()) {
            changed |= take(nodes, storage, retiring);
        }
        for (final NodeInfo controller : polls.controllers()) {
            changed |= take(controllers, controller, retiring);
        }
        changed |= group.membershipSettled()
                && metadata.control().version() < group.membership().version();
        List<GroupInfo> groups = metadata.groups();
        if (groups.isEmpty() && mayFound(nodes.size(), time.mono())) {
            groups =
                    Placement.found(nodes, founding.groups() > 0 ? founding.groups() : nodes.size(), founding.copies());
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
        return storages >= founding.storages()
                && (founding.groups() > 0 || now - polls.newcomerAt() >= timing.changeMs() / 2);
    }

    /** Not a member, and not heard for long: nobody needs to know of it any more. */
    private boolean isGone(final NodeInfo controller, final long now) {
        return controller.node() != info.node()
                && now - polls.dutySince() > timing.recoverMs()
                && !polls.nodes().contains(controller.node())
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
    public void founded(final ControlRequest op, final Time time) {
        final int id = (int) PackedBuffer.reader(op.body()).getLong();
        final ClusterMetadata metadata = view.newestMetadata();
        for (final GroupInfo g : metadata.groups()) {
            if (g.id() == id && !g.founded()) {
                append(metadata.with(new GroupInfo(id, true, g.membership())), time);
            }
        }
    }

    /** A group's leader tells the membership that its log has committed. */
    public void members(final ControlRequest op, final Time time) {
        final PackedBuffer in = PackedBuffer.reader(op.body());
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
