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
        NodeInfo findIn(ClusterMetadata metadata);

        Retirement findRetirement(ControlState state, long position);
    }

    private record ByNumber(int node) implements Target {
        @Override
        public NodeInfo findIn(final ClusterMetadata metadata) {
            return metadata.node(node);
        }

        @Override
        public Retirement findRetirement(final ControlState state, final long position) {
            return state.retirements().byNumber(node, position);
        }
    }

    private record ByName(String name) implements Target {
        @Override
        public NodeInfo findIn(final ClusterMetadata metadata) {
            return metadata.nodes().stream()
                    .filter(n -> n.name().equals(name))
                    .findFirst()
                    .orElse(null);
        }

        @Override
        public Retirement findRetirement(final ControlState state, final long position) {
            return state.retirements().byName(name, position);
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

    /** Retires the storage node with the number in the request, or cancels its retirement. */
    public void retire(final int from, final ControlRequest request, final Time time) {
        final PackedBuffer in = PackedBuffer.reader(request.body());
        final Target target = new ByNumber((int) in.getLong());
        appendAndRespond(from, request, ControlRequestKind.RETIRE, target, in.getLong() == 1, time);
    }

    /** Retires the storage node with the name in the request. */
    public void retireNamed(final int from, final ControlRequest request, final Time time) {
        appendAndRespond(
                from,
                request,
                ControlRequestKind.RETIRE_NAMED,
                new ByName(new String(request.body(), UTF_8)),
                true,
                time);
    }

    private void appendAndRespond(
            final int from,
            final ControlRequest request,
            final ControlRequestKind kind,
            final Target target,
            final boolean retiring,
            final Time time) {
        append(target, retiring, time);
        pending.add(from, request, kind, at -> response(target, retiring, at), time);
    }

    /** Whether the cluster metadata at this position of the log reflects the order. */
    private boolean reflects(
            final ClusterMetadata metadata, final long position, final Target target, final boolean retiring) {
        final NodeInfo node = target.findIn(metadata);
        return node != null
                ? metadata.retiring().contains(node.node()) == retiring
                : retiring && target.findRetirement(view.state(), position) != null;
    }

    private boolean appended(final Target target, final boolean retiring) {
        return reflects(view.newestMetadata(), Long.MAX_VALUE, target, retiring);
    }

    /** Appends the order unless the log already reflects it or it cannot be executed at present. */
    private void append(final Target target, final boolean retiring, final Time time) {
        final ClusterMetadata metadata = view.newestMetadata();
        final NodeInfo node = target.findIn(metadata);
        if (node == null || appended(target, retiring)) {
            return;
        }
        final MovePlan.Retirement plan = plan(metadata, node.node(), retiring, time);
        if (plan.findings().isEmpty()) {
            group.append(LogRecord.CONTROL, ControlState.metadataBody(plan.metadata()), time.mono(), time.wall());
        }
    }

    private MovePlan.Retirement plan(
            final ClusterMetadata metadata, final int node, final boolean retiring, final Time time) {
        return MovePlan.retire(metadata, node, retiring, leases.aliveStorageNodes(time.mono()));
    }

    private Response response(final Target target, final boolean retiring, final Time time) {
        if (reflects(view.metadata(), group.committed(), target, retiring)) {
            return new Response(
                    ResponseStatus.ACCEPTED, 0, "{\"outcome\":\"" + (retiring ? "retiring" : "kept") + "\"}");
        }
        append(target, retiring, time);
        // A refusal is final, so it must follow from committed state, and not from nodes merely not having polled yet
        final boolean settled =
                view.newestMetadata().version() == view.metadata().version() && leases.hasHeardFromAll(time.mono());
        return appended(target, retiring) || !settled ? null : refusal(target, retiring, time);
    }

    private Response refusal(final Target target, final boolean retiring, final Time time) {
        final NodeInfo node = target.findIn(view.metadata());
        if (node == null && target instanceof ByName) {
            return unknownNode();
        }
        final int number = target instanceof ByNumber t ? t.node : node.node();
        return ControlResponder.refused(
                ResponseStatus.CONFLICT,
                plan(view.metadata(), number, retiring, time).findings());
    }

    private static Response unknownNode() {
        return new Response(ResponseStatus.NOT_FOUND, 0, "{\"outcome\":\"unknown\"}");
    }

    /** Responds whether a retiring node no longer has replicas, by the committed cluster metadata. */
    public Response retired(final String name) {
        final ClusterMetadata metadata = view.metadata();
        final Target target = new ByName(name);
        if (!reflects(metadata, group.committed(), target, true)) {
            return unknownNode();
        }
        final NodeInfo node = target.findIn(metadata);
        final int number = node != null
                ? node.node()
                : target.findRetirement(view.state(), group.committed()).node();
        // If another machine has the node number now, the retired one has been removed
        final boolean replaced = node == null && metadata.node(number) != null;
        final boolean holds =
                metadata.groups().stream().anyMatch(g -> g.membership().holds(number));
        return new Response(ResponseStatus.OK, 0, "{\"empty\":" + (replaced || !holds) + "}");
    }
}
