package brookpath.coordination.node.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.usage.UsageReporter;
import brookpath.state.record.PackedBuffer;
import jakarta.json.Json;
import java.util.List;
import java.util.Set;

/**
 * Dispatches the requests that reach the control leader by their kind. Reads are served from the committed state once a
 * majority has responded after the request arrived. Not thread-safe.
 */
final class ControlRequestHandler {
    /** Kinds that append a cluster metadata record. */
    private static final Set<ControlRequestKind> APPENDING = Set.of(
            ControlRequestKind.FOUNDED,
            ControlRequestKind.MEMBERS,
            ControlRequestKind.RETIRE,
            ControlRequestKind.RETIRE_NAMED);

    /** The request ID of a request without a reply. */
    private static final long NO_REPLY = 0;

    private final int self;
    private final GroupMachine group;
    private final ControlView view;
    private final ConfigurationChangeHandler changes;
    private final StorageRetirementHandler retirements;
    private final ClusterMetadataUpdater metadataUpdater;
    private final GroupMoveDriver moves;
    private final ConfigurationLeaseGranter leases;
    private final UsageReporter usage;
    private final PendingRequests pending;
    private final ControlResponder responder;
    private final TimingBounds timing;
    private final Actions out;

    ControlRequestHandler(
            final int self,
            final GroupMachine group,
            final ControlView view,
            final ConfigurationChangeHandler changes,
            final StorageRetirementHandler retirements,
            final ClusterMetadataUpdater metadataUpdater,
            final GroupMoveDriver moves,
            final ConfigurationLeaseGranter leases,
            final UsageReporter usage,
            final PendingRequests pending,
            final ControlResponder responder,
            final TimingBounds timing,
            final Actions out) {
        this.self = self;
        this.group = group;
        this.view = view;
        this.changes = changes;
        this.retirements = retirements;
        this.metadataUpdater = metadataUpdater;
        this.moves = moves;
        this.leases = leases;
        this.usage = usage;
        this.pending = pending;
        this.responder = responder;
        this.timing = timing;
        this.out = out;
    }

    void handle(final int from, final ControlRequest request, final Time time) {
        if (!group.mayAct(time.mono())) {
            responder.respond(from, request.requestId(), responder.unavailable("this node is not the control leader"));
            return;
        }
        final ControlRequestKind kind = ControlRequestKind.of(request.kind());
        if (view.backlogged() && APPENDING.contains(kind)) {
            // Refused before anything is appended, so that the refusal is certain. A configuration change is not
            // refused
            // here, because it may repeat one that is in progress
            responder.respond(from, request.requestId(), responder.unavailable("too many records await replication"));
            return;
        }
        switch (kind) {
            case FOUNDED -> metadataUpdater.onGroupFounded(request, time);
            case MEMBERS -> metadataUpdater.onMembershipCommitted(request, time);
            case USAGE -> addUsage(from, request);
            case GATEWAYS ->
                out.send(
                        from,
                        new ControlReply(
                                request.requestId(), ResponseStatus.OK.code(), 0, leases.openGateways(time.mono())));
            case CHANGE -> changes.change(from, request, time);
            case RETIRE -> retirements.retire(from, request, time);
            case RETIRE_NAMED -> retirements.retireNamed(from, request, time);
            default -> pending.add(from, request, kind, at -> read(kind, request, at.mono()), time);
        }
    }

    /** The response from the committed state, once a majority has confirmed this leader. */
    private Response read(final ControlRequestKind kind, final ControlRequest request, final long now) {
        return switch (kind) {
            case CONFIGURATION -> readConfiguration();
            case OUTCOME -> changes.outcome(new String(request.body(), UTF_8), timing.retryAfterMs(), now);
            case RETIRED -> retirements.retired(new String(request.body(), UTF_8));
            case HANDOVER -> handover(request);
            case WINDOWS -> new Response(ResponseStatus.OK, 0, usage.windowsJson());
            case NODES -> new Response(ResponseStatus.OK, 0, nodesJson(now));
            default -> new Response(ResponseStatus.NOT_FOUND, 0, "{}");
        };
    }

    private Response readConfiguration() {
        final StoredConfiguration stored = view.configuration();
        if (stored.version() == 0) {
            return new Response(ResponseStatus.NOT_FOUND, 0, "{\"version\":0}");
        }
        final String document = new String(stored.document(), UTF_8);
        return new Response(
                ResponseStatus.OK, 0, "{\"version\":" + stored.version() + ",\"document\":" + document + "}");
    }

    /**
     * Forwards a manual switchover to the members of its group; nothing is recorded, so the request may be repeated.
     */
    private Response handover(final ControlRequest request) {
        final int id = (int) PackedBuffer.reader(request.body()).getLong();
        final List<GroupInfo> groups = view.metadata().groups();
        if (id < 0 || id >= groups.size()) {
            return new Response(ResponseStatus.NOT_FOUND, 0, "{\"outcome\":\"no such group\"}");
        }
        groups.get(id)
                .members()
                .forEach(member ->
                        out.send(member.node(), ControlRequestKind.HANDOVER.request(NO_REPLY, request.body())));
        return new Response(ResponseStatus.ACCEPTED, 0, "{\"outcome\":\"asked\"}");
    }

    private void addUsage(final int from, final ControlRequest request) {
        final int id = (int) PackedBuffer.reader(request.body()).getLong();
        if (view.metadata().node(from) != null) {
            moves.onLeaderReported(id, from);
        }
        final byte[] included = PackedBuffer.writer()
                .putLong(usage.recordClosedWindows(request))
                .toByteArray();
        out.send(from, new ControlReply(request.requestId(), ResponseStatus.OK.code(), 0, included));
    }

    private String nodesJson(final long now) {
        return Json.createObjectBuilder()
                .add("controlMaster", self)
                .add("epoch", group.term())
                .add("nodes", leases.nodesJson(now))
                .build()
                .toString();
    }
}
