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

/** The HTTP interface of a gateway for its callers. docs/operators/caller-interface.md shows it with examples. */
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
     * Publishes a message. 200 with its position once enough replicas have synced it, 503 if it was certainly not
     * appended, 504 if the outcome is unknown. A message that is retried with the same sequence number is appended at
     * most once.
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
            return RequestDispatcher.completed(refusal(ex));
        }
        return dispatcher.submit(id -> new NodeRequest.Publish(
                id, apiKey(authorization), space + "/" + topic, body.sender(), body.sequence(), body.message()));
    }

    /**
     * Opens a listening session, which streams JSON lines until it ends.
     *
     * @param topics 1 to 64 topics
     * @param cursor where to resume; null to start with new records. 410 if records after it are no longer retained
     */
    @GET
    @Path("/stream")
    public CompletionStage<jakarta.ws.rs.core.Response> stream(
            @QueryParam("topic") final List<String> topics,
            @QueryParam("cursor") final String cursor,
            @HeaderParam("Authorization") final String authorization) {
        final long id = dispatcher.host().nextRequestId();
        final StreamedSession session = new StreamedSession(dispatcher.host(), id);
        return dispatcher
                .host()
                .subscribe(id, new NodeRequest.Subscribe(id, apiKey(authorization), topics, cursor), session)
                .thenApplyAsync(
                        r -> {
                            if (r.status() != Status.OK.getStatusCode()) {
                                dispatcher.host().unsubscribe(id);
                                return RequestDispatcher.toHttp(r);
                            }
                            return jakarta.ws.rs.core.Response.ok(session, JSON_LINES)
                                    .header("Brookpath-Session", sessionId(r))
                                    .build();
                        },
                        dispatcher.trafficExecutor());
    }

    private static String sessionId(final Response response) {
        try (JsonReader rd =
                Json.createReader(new ByteArrayInputStream(response.json().getBytes(UTF_8)))) {
            return rd.readObject().getString("session");
        }
    }

    /**
     * Counts the sessions that listen to a topic, on all gateways.
     *
     * @param session a session to leave out of the count; null for none
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

    /** Explains where a publish or a subscription on the topic would be routed now, and why; for diagnosis. */
    @GET
    @Path("/explain")
    public CompletionStage<jakarta.ws.rs.core.Response> explain(
            @QueryParam("topic") final String topic, @HeaderParam("Authorization") final String authorization) {
        return dispatcher.submit(id -> new NodeRequest.Explain(id, apiKey(authorization), topic == null ? "" : topic));
    }

    /**
     * Starts draining this gateway: it reports that it is not ready and refuses new sessions with 503.
     *
     * @param on {@code false} ends the drain; anything else, or null, starts it
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

    private static Response refusal(final PublishBody.RefusedException ex) {
        final Status status = ex.tooLarge() ? Status.REQUEST_ENTITY_TOO_LARGE : Status.BAD_REQUEST;
        final String json = "{\"outcome\":\"refused\",\"findings\":" + Finding.toJson(ex.findings()) + "}";
        return new Response(status.getStatusCode(), 0, json);
    }
}
