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
 * The interface for operators, the same on any controller. docs/operators/operator-interface.md shows it with examples.
 */
@Path("/v1")
@Produces(APPLICATION_JSON)
public final class OperatorResource {
    private final RequestDispatcher dispatcher;

    @Inject
    public OperatorResource(final RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    @POST
    @Path("/changes")
    public CompletionStage<Response> change(final InputStream in) throws IOException {
        // why: one byte more than allowed is enough for the leader to say that it is too large
        return operate(ControlRequestKind.CHANGE, in.readNBytes(ConfigurationReader.MAX_BYTES + 1));
    }

    @GET
    @Path("/changes/{id}")
    public CompletionStage<Response> outcome(@PathParam("id") final String id) {
        return operate(ControlRequestKind.OUTCOME, id.getBytes(UTF_8));
    }

    @GET
    @Path("/spec")
    public CompletionStage<Response> configuration() {
        return operate(ControlRequestKind.CONFIGURATION, new byte[0]);
    }

    /** Empties a storage machine ({@code on=false}: no longer). */
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

    /** Manual switchover of a group's leadership. */
    @POST
    @Path("/groups/{group}/master")
    public CompletionStage<Response> handover(@PathParam("group") final int group, @QueryParam("node") final int node) {
        return operate(
                ControlRequestKind.HANDOVER,
                PackedBuffer.writer().putLong(group).putLong(node).toByteArray());
    }

    @GET
    @Path("/usage")
    public CompletionStage<Response> usage() {
        return operate(ControlRequestKind.WINDOWS, new byte[0]);
    }

    @GET
    @Path("/nodes")
    public CompletionStage<Response> nodes() {
        return operate(ControlRequestKind.NODES, new byte[0]);
    }

    private CompletionStage<Response> operate(final ControlRequestKind kind, final byte[] body) {
        return dispatcher.submit(id -> new NodeRequest.Operate(id, kind, body));
    }
}
