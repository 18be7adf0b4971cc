package brookpath.transport.http;

import static jakarta.ws.rs.core.MediaType.APPLICATION_JSON;

import brookpath.coordination.node.NodeRequest;
import jakarta.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Response;
import java.util.concurrent.CompletionStage;

/** Readiness, status and wire statistics, the same on every process. */
@Path("/v1")
@Produces(APPLICATION_JSON)
public final class CommonResource {
    private final RequestDispatcher dispatcher;
    private final SettingsReport settings;

    /** @param settings reports the state of the settings file for the status page */
    @Inject
    public CommonResource(final RequestDispatcher dispatcher, final SettingsReport settings) {
        this.dispatcher = dispatcher;
        this.settings = settings;
    }

    /** Readiness probe for load balancers: 200 while this process can serve, otherwise 503. */
    @GET
    @Path("/ready")
    public CompletionStage<Response> ready() {
        return dispatcher.submit(NodeRequest.ReadinessProbe::new);
    }

    /** The status page: state of the node, of its groups or sessions, and of its settings file. */
    @GET
    @Path("/status")
    public CompletionStage<Response> status() {
        // The node does not know the settings file, so its status and that of the file are merged here.
        return dispatcher.submit(
                NodeRequest.Status::new,
                r -> new brookpath.coordination.message.Response(
                        r.status(),
                        r.retryAfterMs(),
                        r.json().substring(0, r.json().length() - 1) + ",\"settings\":" + settings.json() + "}"));
    }

    /**
     * Counters of the sessions with peers, and lengths of the queues. Read without the state thread, so that it
     * responds even while that thread is busy.
     */
    @GET
    @Path("/wire")
    public Response wire() {
        final String wire = dispatcher.host().wireJson();
        return Response.ok(wire.substring(0, wire.length() - 1) + ",\"waiting\":"
                        + dispatcher.host().queuesJson() + "}\n")
                .build();
    }
}
