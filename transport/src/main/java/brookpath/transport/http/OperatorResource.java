package brookpath.transport.http;

import static jakarta.ws.rs.core.MediaType.APPLICATION_JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.configuration.ConfigurationReader;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.node.NodeRequest;
import brookpath.state.record.PackedBuffer;
import jakarta.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.CompletionStage;

/**
 * The HTTP interface for operators, the same on every controller. docs/operators/operator-interface.md shows it with
 * examples.
 */
@Path("/v1")
@Produces(APPLICATION_JSON)
public final class OperatorResource {
    private final RequestDispatcher dispatcher;

    /** @param dispatcher submits the requests to the node, which forwards them to the control leader */
    @Inject
    public OperatorResource(final RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /**
     * Submits a configuration change. 200 once it is in force everywhere, 409 if it is not based on the current
     * version, 504 if the outcome is unknown; the same document may then be sent again.
     */
    @POST
    @Path("/changes")
    public CompletionStage<Response> change(final InputStream in) throws IOException {
        // One byte above the limit is enough for the control leader to reject the document as too large.
        return operate(ControlRequestKind.CHANGE, in.readNBytes(ConfigurationReader.MAX_BYTES + 1));
    }

    /**
     * The outcome of a change: 200 once it is confirmed, 202 while it is being distributed, 404 if no such change was
     * accepted.
     *
     * @param id the change ID of the submitted document
     */
    @GET
    @Path("/changes/{id}")
    public CompletionStage<Response> outcome(@PathParam("id") final String id) {
        return operate(ControlRequestKind.OUTCOME, id.getBytes(UTF_8));
    }

    /** The newest committed configuration: its version and its document. */
    @GET
    @Path("/spec")
    public CompletionStage<Response> configuration() {
        return operate(ControlRequestKind.CONFIGURATION, new byte[0]);
    }

    /** Retires a storage node: its replicas are moved to others. {@code on=false} cancels the retirement. */
    @POST
    @Path("/storages/{node}/retire")
    public CompletionStage<Response> retire(@PathParam("node") final int node, @QueryParam("on") final String on) {
        return operate(
                ControlRequestKind.RETIRE,
                PackedBuffer.writer()
                        .putLong(node)
                        .putLong("false".equals(on) ? 0 : 1)
                        .toByteArray());
    }

    /** Transfers a group's leadership to the given node; attempted only while that node has every record. */
    @POST
    @Path("/groups/{group}/master")
    public CompletionStage<Response> handover(@PathParam("group") final int group, @QueryParam("node") final int node) {
        return operate(
                ControlRequestKind.HANDOVER,
                PackedBuffer.writer().putLong(group).putLong(node).toByteArray());
    }

    /** The totals of the usage windows by tenant, and whether each window was reported to the platform. */
    @GET
    @Path("/usage")
    public CompletionStage<Response> usage() {
        return operate(ControlRequestKind.WINDOWS, new byte[0]);
    }

    /** The processes of the data plane that follow the control leader: role, zone, versions, remaining lease. */
    @GET
    @Path("/nodes")
    public CompletionStage<Response> nodes() {
        return operate(ControlRequestKind.NODES, new byte[0]);
    }

    private CompletionStage<Response> operate(final ControlRequestKind kind, final byte[] body) {
        return dispatcher.submit(id -> new NodeRequest.Operate(id, kind, body));
    }
}
