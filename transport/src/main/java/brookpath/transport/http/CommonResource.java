package brookpath.transport.http;

import static jakarta.ws.rs.core.MediaType.APPLICATION_JSON;

import brookpath.coordination.node.Job;
import jakarta.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Response;
import java.util.concurrent.CompletionStage;

/** What every process tells: whether it is ready, and what it sees. */
@Path("/v1")
@Produces(APPLICATION_JSON)
public final class CommonResource {
    private final Desk desk;

    @Inject
    public CommonResource(final Desk desk) {
        this.desk = desk;
    }

    @GET
    @Path("/ready")
    public CompletionStage<Response> ready() {
        return desk.ask(Job.Ready::new);
    }

    @GET
    @Path("/status")
    public CompletionStage<Response> status() {
        return desk.ask(Job.Status::new);
    }

    /** Counters of the wire; they belong to the process rather than to its state. */
    @GET
    @Path("/wire")
    public Response wire() {
        return Response.ok("{\"malformedFrames\":" + desk.host().wire().malformed() + ",\"bytesOut\":" + desk.host().wire().bytesOut() + "}\n").build();
    }
}
