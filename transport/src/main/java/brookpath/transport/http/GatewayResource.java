package brookpath.transport.http;

import static jakarta.ws.rs.core.MediaType.APPLICATION_JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.configuration.Finding;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import jakarta.inject.Inject;
import jakarta.json.Json;
import jakarta.json.JsonReader;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.Response.Status;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** The interface for callers of a gateway. docs/operators/caller-interface.md shows it with examples. */
@Path("/v1")
@Produces(APPLICATION_JSON)
public final class GatewayResource {
    private static final String BEARER = "Bearer ";
    private static final String JSON_LINES = "application/x-ndjson";

    private final RequestDispatcher dispatcher;

    /** @param dispatcher submits the requests to the node */
    @Inject
    public GatewayResource(final RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /**
     * Publishes a message. 200 with its position once enough replicas have synced it, 503 where it was certainly not
     * appended, 504 where that is unknown; a retry with the same sequence is appended at most once.
     */
    @POST
    @Path("/topics/{space}/{topic}/messages")
    public CompletionStage<jakarta.ws.rs.core.Response> publish(
            @PathParam("space") final String space,
            @PathParam("topic") final String topic,
            @HeaderParam("Authorization") final String authorization,
            final InputStream in)
            throws IOException {
        final PublishBody body;
        try {
            body = PublishBody.parse(RequestDispatcher.readBody(in, PublishBody.MAX_BYTES));
        } catch (final PublishBody.RefusedException ex) {
            return RequestDispatcher.completed(refused(ex));
        }
        return dispatcher.submit(id -> new NodeRequest.Publish(
                id, apiKey(authorization), space + "/" + topic, body.sender(), body.sequence(), body.message()));
    }

    /**
     * Opens a listening session: JSON lines until the session ends.
     *
     * @param topics 1 to 64 of them
     * @param cursor where to resume; null for from now on. 410 where records after it are no longer retained
     */
    @GET
    @Path("/stream")
    public CompletionStage<jakarta.ws.rs.core.Response> stream(
            @QueryParam("topic") final List<String> topics,
            @QueryParam("cursor") final String cursor,
            @HeaderParam("Authorization") final String authorization) {
        final long id = dispatcher.host().nextRequestId();
        final StreamedSession lines = new StreamedSession(dispatcher.host(), id);
        return dispatcher
                .host()
                .subscribe(id, new NodeRequest.Subscribe(id, apiKey(authorization), topics, cursor), lines)
                .thenApplyAsync(
                        r -> {
                            if (r.status() != Status.OK.getStatusCode()) {
                                dispatcher.host().unsubscribe(id);
                                return RequestDispatcher.toHttp(r);
                            }
                            return jakarta.ws.rs.core.Response.ok(lines, JSON_LINES)
                                    .header("Brookpath-Session", session(r))
                                    .build();
                        },
                        dispatcher.traffic());
    }

    private static String session(final Response hello) {
        try (JsonReader rd =
                Json.createReader(new ByteArrayInputStream(hello.json().getBytes(UTF_8)))) {
            return rd.readObject().getString("session");
        }
    }

    /**
     * Counts the sessions that listen to a topic, on all gateways.
     *
     * @param session left out of the count; null for none
     */
    @GET
    @Path("/topics/{space}/{topic}/listeners")
    public CompletionStage<jakarta.ws.rs.core.Response> listeners(
            @PathParam("space") final String space,
            @PathParam("topic") final String topic,
            @QueryParam("session") final String session,
            @HeaderParam("Authorization") final String authorization) {
        return dispatcher.submit(id -> new NodeRequest.Count(id, apiKey(authorization), space + "/" + topic, session));
    }

    /** Where a publish or a subscription on the topic would be routed now, and why; for diagnosis. */
    @GET
    @Path("/explain")
    public CompletionStage<jakarta.ws.rs.core.Response> explain(
            @QueryParam("topic") final String topic, @HeaderParam("Authorization") final String authorization) {
        return dispatcher.submit(id -> new NodeRequest.Explain(id, apiKey(authorization), topic == null ? "" : topic));
    }

    /**
     * Starts to drain this gateway: it is no longer ready and refuses new sessions with 503.
     *
     * @param on {@code false} to end the drain; anything else, or null, starts it
     */
    @POST
    @Path("/drain")
    public CompletionStage<jakarta.ws.rs.core.Response> drain(@QueryParam("on") final String on) {
        return dispatcher.submit(id -> new NodeRequest.Drain(id, !"false".equals(on)));
    }

    private static String apiKey(final String authorization) {
        return authorization != null && authorization.startsWith(BEARER)
                ? authorization.substring(BEARER.length()).trim()
                : "";
    }

    private static Response refused(final PublishBody.RefusedException ex) {
        final Status status = ex.tooLarge() ? Status.REQUEST_ENTITY_TOO_LARGE : Status.BAD_REQUEST;
        final String json = "{\"outcome\":\"refused\",\"findings\":" + Finding.toJson(ex.findings()) + "}";
        return new Response(status.getStatusCode(), 0, json);
    }
}
