package brookpath.coordination.node.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.controllog.Retirements.Retirement;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.placement.MovePlan;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;

/**
 * Handles orders to retire a storage node, or to cancel its retirement. An order is acknowledged once its record is
 * committed, and again each time it is repeated, also after the node has been removed.
 */
public final class StorageRetirementHandler {
    /** The storage node that an order names, by its number or by its name. */
    private sealed interface Target {
        NodeInfo in(ClusterMetadata metadata);

        Retirement retired(ControlState state, long position);
    }

    private record ByNumber(int node) implements Target {
        @Override
        public NodeInfo in(final ClusterMetadata metadata) {
            return metadata.node(node);
        }

        @Override
        public Retirement retired(final ControlState state, final long position) {
            return state.retirements().numbered(node, position);
        }
    }

    private record ByName(String name) implements Target {
        @Override
        public NodeInfo in(final ClusterMetadata metadata) {
            return metadata.nodes().stream()
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
    private final ControlView view;
    private final ConfigurationLeaseGranter leases;
    private final PendingRequests pending;

    StorageRetirementHandler(
            final GroupMachine group,
            final ControlView view,
            final ConfigurationLeaseGranter leases,
            final PendingRequests pending) {
        this.group = group;
        this.view = view;
        this.leases = leases;
        this.pending = pending;
    }

    /** Retires the storage node of a number, or cancels its retirement. */
    public void retire(final int from, final ControlRequest request, final Time time) {
        final PackedBuffer in = PackedBuffer.reader(request.body());
        final Target target = new ByNumber((int) in.getLong());
        take(from, request, ControlRequestKind.RETIRE, target, in.getLong() == 1, time);
    }

    /** Retires the storage node of a name. */
    public void retireNamed(final int from, final ControlRequest request, final Time time) {
        take(from, request, ControlRequestKind.RETIRE_NAMED, new ByName(new String(request.body(), UTF_8)), true, time);
    }

    private void take(
            final int from,
            final ControlRequest request,
            final ControlRequestKind kind,
            final Target target,
            final boolean on,
            final Time time) {
        append(target, on, time);
        pending.add(from, request, kind, at -> answer(target, on, at), time);
    }

    /** Whether this cluster metadata, which is at this position of the log, reflects the order. */
    private boolean done(final ClusterMetadata metadata, final long position, final Target target, final boolean on) {
        final NodeInfo node = target.in(metadata);
        return node != null
                ? metadata.retiring().contains(node.node()) == on
                : on && target.retired(view.state(), position) != null;
    }

    private boolean appended(final Target target, final boolean on) {
        return done(view.newestMetadata(), Long.MAX_VALUE, target, on);
    }

    /** Appends the order unless the log has it already or it cannot be executed at present. */
    private void append(final Target target, final boolean on, final Time time) {
        final ClusterMetadata metadata = view.newestMetadata();
        final NodeInfo node = target.in(metadata);
        if (node == null || appended(target, on)) {
            return;
        }
        final MovePlan.Retirement plan = plan(metadata, node.node(), on, time);
        if (plan.findings().isEmpty()) {
            group.append(LogRecord.CONTROL, ControlState.metadataBody(plan.then()), time.mono(), time.wall());
        }
    }

    private MovePlan.Retirement plan(
            final ClusterMetadata metadata, final int node, final boolean on, final Time time) {
        return MovePlan.retire(metadata, node, on, leases.aliveStorageNodes(time.mono()));
    }

    private Response answer(final Target target, final boolean on, final Time time) {
        if (done(view.metadata(), group.committed(), target, on)) {
            return new Response(ResponseStatus.ACCEPTED, 0, "{\"outcome\":\"" + (on ? "retiring" : "kept") + "\"}");
        }
        append(target, on, time);
        // A refusal is final, so that it must follow from committed state, not from nodes that have not polled yet
        final boolean settled =
                view.newestMetadata().version() == view.metadata().version() && leases.hasHeardAll(time.mono());
        return appended(target, on) || !settled ? null : refusal(target, on, time);
    }

    private Response refusal(final Target target, final boolean on, final Time time) {
        final NodeInfo node = target.in(view.metadata());
        if (node == null && target instanceof ByName) {
            return unknown();
        }
        final int number = target instanceof ByNumber t ? t.node : node.node();
        return ControlResponder.refused(
                ResponseStatus.CONFLICT, plan(view.metadata(), number, on, time).findings());
    }

    private static Response unknown() {
        return new Response(ResponseStatus.NOT_FOUND, 0, "{\"outcome\":\"unknown\"}");
    }

    /** Whether a retiring node has no replica any more, by the committed cluster metadata. */
    public Response retired(final String name) {
        final ClusterMetadata metadata = view.metadata();
        final Target target = new ByName(name);
        if (!done(metadata, group.committed(), target, true)) {
            return unknown();
        }
        final NodeInfo node = target.in(metadata);
        final int number = node != null
                ? node.node()
                : target.retired(view.state(), group.committed()).node();
        // Where another machine has the number now, the retired one has been removed
        final boolean replaced = node == null && metadata.node(number) != null;
        final boolean holds =
                metadata.groups().stream().anyMatch(g -> g.membership().holds(number));
        return new Response(ResponseStatus.OK, 0, "{\"empty\":" + (replaced || !holds) + "}");
    }
}
