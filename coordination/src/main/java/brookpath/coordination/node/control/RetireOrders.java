package brookpath.coordination.node.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Msg.Op;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.spec.ControlState;
import brookpath.coordination.spec.MovePlan;
import brookpath.coordination.spec.Retirements.Retirement;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;

/**
 * Orders to empty a storage machine, or to keep it after all. An order is acknowledged once the record that took it is
 * accepted, and again however often it is repeated, also when the machine is long gone.
 */
public final class RetireOrders {
    /** The machine that an order names, by its number or by its name. */
    private sealed interface Target {
        NodeInfo in(Roster roster);

        Retirement retired(ControlState state, long position);
    }

    private record ByNumber(int node) implements Target {
        @Override
        public NodeInfo in(final Roster roster) {
            return roster.node(node);
        }

        @Override
        public Retirement retired(final ControlState state, final long position) {
            return state.retirements().numbered(node, position);
        }
    }

    private record ByName(String name) implements Target {
        @Override
        public NodeInfo in(final Roster roster) {
            return roster.nodes().stream()
                    .filter(n -> n.name().equals(name))
                    .findFirst()
                    .orElse(null);
        }

        @Override
        public Retirement retired(final ControlState state, final long position) {
            return state.retirements().named(name, position);
        }
    }

    private final GroupMachine group;
    private final Followers followers;
    private final PendingAnswers pending;

    public RetireOrders(final GroupMachine group, final Followers followers, final PendingAnswers pending) {
        this.group = group;
        this.followers = followers;
        this.pending = pending;
    }

    private ControlState state() {
        return (ControlState) group.live();
    }

    private Roster accepted() {
        return state().rosterAt(group.accepted());
    }

    private Roster newest() {
        return state().rosterAt(Long.MAX_VALUE);
    }

    /** Empties a machine given by its number, or keeps it after all. */
    public void retire(final int from, final Op op, final Time time) {
        final Pack in = Pack.reader(op.body());
        final Target target = new ByNumber((int) in.num());
        take(from, op, RequestKind.RETIRE, target, in.num() == 1, time);
    }

    /** Empties a machine given by its name. */
    public void retireNamed(final int from, final Op op, final Time time) {
        take(from, op, RequestKind.RETIRE_NAMED, new ByName(new String(op.body(), UTF_8)), true, time);
    }

    private void take(
            final int from,
            final Op op,
            final RequestKind kind,
            final Target target,
            final boolean on,
            final Time time) {
        append(target, on, time);
        pending.add(from, op, kind, at -> answer(target, on, at), time);
    }

    /** Whether the order is a fact in this cluster metadata, which stands at this position of the log. */
    private boolean done(final Roster roster, final long position, final Target target, final boolean on) {
        final NodeInfo node = target.in(roster);
        return node != null
                ? roster.retiring().contains(node.node()) == on
                : on && target.retired(state(), position) != null;
    }

    private boolean appended(final Target target, final boolean on) {
        return done(newest(), Long.MAX_VALUE, target, on);
    }

    /** Appends the order unless it is there already, or something speaks against it just now. */
    private void append(final Target target, final boolean on, final Time time) {
        final Roster roster = newest();
        final NodeInfo node = target.in(roster);
        if (node == null || appended(target, on)) {
            return;
        }
        final MovePlan.Retirement plan = plan(roster, node.node(), on, time);
        if (plan.findings().isEmpty()) {
            group.append(Rec.CONTROL, ControlState.rosterBody(plan.then()), time.mono(), time.wall());
        }
    }

    private MovePlan.Retirement plan(final Roster roster, final int node, final boolean on, final Time time) {
        return MovePlan.retire(roster, node, on, followers.aliveStorages(time.mono()));
    }

    private Response answer(final Target target, final boolean on, final Time time) {
        if (done(accepted(), group.accepted(), target, on)) {
            return new Response(202, 0, "{\"outcome\":\"" + (on ? "retiring" : "kept") + "\"}");
        }
        append(target, on, time);
        // why: a refusal is final, so it must follow from what is accepted, and not from machines not heard yet
        final boolean settled = newest().version() == accepted().version() && followers.heardAll(time.mono());
        return appended(target, on) || !settled ? null : refusal(target, on, time);
    }

    private Response refusal(final Target target, final boolean on, final Time time) {
        final NodeInfo node = target.in(accepted());
        if (node == null && target instanceof ByName) {
            return unknown();
        }
        final int number = target instanceof ByNumber t ? t.node : node.node();
        return Replies.refused(409, plan(accepted(), number, on, time).findings());
    }

    private static Response unknown() {
        return new Response(404, 0, "{\"outcome\":\"unknown\"}");
    }

    /** Whether a machine that was to be emptied holds nothing any more, by the accepted cluster metadata. */
    public Response retired(final String name) {
        final Roster roster = accepted();
        final Target target = new ByName(name);
        if (!done(roster, group.accepted(), target, true)) {
            return unknown();
        }
        final NodeInfo node = target.in(roster);
        final int number = node != null
                ? node.node()
                : target.retired(state(), group.accepted()).node();
        // why: where another machine has the number now, the one that retired is gone
        final boolean replaced = node == null && roster.node(number) != null;
        final boolean holds =
                roster.groups().stream().anyMatch(g -> g.membership().holds(number));
        return new Response(200, 0, "{\"empty\":" + (replaced || !holds) + "}");
    }
}
