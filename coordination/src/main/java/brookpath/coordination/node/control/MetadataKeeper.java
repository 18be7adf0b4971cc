package brookpath.coordination.node.control;

import brookpath.coordination.Tempo;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.Msg.Op;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.spec.ControlState;
import brookpath.coordination.spec.Placement;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.GroupInfo;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the cluster metadata up, as a duty of the control master: which machines there are, where the topic groups lie,
 * and who their members are. Each step is a record of the control log.
 */
public final class MetadataKeeper {
    private final NodeInfo info;
    private final GroupMachine group;
    private final ControlView view;
    private final PollRegistry polls;
    private final Founding founding;
    private final Tempo tempo;

    /** @param info this controller as others are told of it */
    public MetadataKeeper(
            final NodeInfo info,
            final GroupMachine group,
            final ControlView view,
            final PollRegistry polls,
            final Founding founding,
            final Tempo tempo) {
        this.info = info;
        this.group = group;
        this.view = view;
        this.polls = polls;
        this.founding = founding;
        this.tempo = tempo;
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
        final Roster roster = view.newestMetadata();
        final List<NodeInfo> nodes = new ArrayList<>(roster.nodes());
        final List<NodeInfo> controllers = new ArrayList<>(roster.controllers());
        final List<Integer> retiring = new ArrayList<>(roster.retiring());
        boolean changed = take(controllers, info, retiring);
        for (final NodeInfo storage : polls.storages()) {
            changed |= take(nodes, storage, retiring);
        }
        for (final NodeInfo controller : polls.controllers()) {
            changed |= take(controllers, controller, retiring);
        }
        changed |= group.membershipSettled()
                && roster.control().version() < group.membership().version();
        List<GroupInfo> groups = roster.groups();
        if (groups.isEmpty() && mayFound(nodes.size(), time.mono())) {
            groups =
                    Placement.found(nodes, founding.groups() > 0 ? founding.groups() : nodes.size(), founding.copies());
            changed = true;
        }
        if (changed) {
            controllers.removeIf(b -> isGone(b, time.mono()));
            append(
                    new Roster(
                            roster.version() + 1,
                            List.copyOf(nodes),
                            groups,
                            List.copyOf(retiring),
                            List.copyOf(controllers),
                            group.membershipSettled() ? group.membership() : roster.control()),
                    time);
        }
    }

    private boolean mayFound(final int storages, final long now) {
        return storages >= founding.storages()
                && (founding.groups() > 0 || now - polls.newcomerAt() >= tempo.changeMs() / 2);
    }

    /** Not a member, and not heard for long: nobody needs to know of it any more. */
    private boolean isGone(final NodeInfo controller, final long now) {
        return controller.node() != info.node()
                && now - polls.dutySince() > tempo.recoverMs()
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

    private void append(final Roster roster, final Time time) {
        group.append(Rec.CONTROL, ControlState.rosterBody(roster), time.mono(), time.wall());
    }

    /** A group's master tells that its group has been founded. */
    public void founded(final Op op, final Time time) {
        final int id = (int) Pack.reader(op.body()).num();
        final Roster roster = view.newestMetadata();
        for (final GroupInfo g : roster.groups()) {
            if (g.id() == id && !g.founded()) {
                append(roster.with(new GroupInfo(id, true, g.membership())), time);
            }
        }
    }

    /** A group's master tells the membership that its log has accepted. */
    public void members(final Op op, final Time time) {
        final Pack in = Pack.reader(op.body());
        final int id = (int) in.num();
        final Membership membership = Membership.load(in);
        final Roster roster = view.newestMetadata();
        if (id < 0 || id >= roster.groups().size() || roster.groups().get(id).version() >= membership.version()) {
            return;
        }
        append(roster.with(new GroupInfo(id, roster.groups().get(id).founded(), membership)), time);
    }
}
