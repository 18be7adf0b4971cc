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

    private final SettingsReport settings;

    @Inject
    public CommonResource(final Desk desk, final SettingsReport settings) {
        this.desk = desk;
        this.settings = settings;
    }

    @GET
    @Path("/ready")
    public CompletionStage<Response> ready() {
        return desk.ask(Job.Ready::new);
    }

    @GET
    @Path("/status")
    public CompletionStage<Response> status() {
        // why: the settings file is the process's, not its state's, so the two are put together here
        return desk.ask(
                Job.Status::new,
                r -> new brookpath.coordination.message.Response(
                        r.status(),
                        r.retryAfterMs(),
                        r.json().substring(0, r.json().length() - 1) + ",\"settings\":" + settings.json() + "}"));
    }

    /** Counters of the wire; they belong to the process rather than to its state. */
    @GET
    @Path("/wire")
    public Response wire() {
        final String wire = desk.host().wireJson();
        return Response.ok(wire.substring(0, wire.length() - 1) + ",\"waiting\":"
                        + desk.host().waitlistsJson() + "}\n")
                .build();
    }
}
