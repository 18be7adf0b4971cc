package brookpath.transport.http;

import static brookpath.coordination.node.GatewayNode.MAX_TEXT;
import static jakarta.ws.rs.core.MediaType.APPLICATION_JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.configuration.Finding;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import jakarta.inject.Inject;
import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** What callers ask of a gateway. docs/operators/caller-interface.md shows it with examples. */
@Path("/v1")
@Produces(APPLICATION_JSON)
public final class GatewayResource {
    private static final int MAX_BODY = 4 * MAX_TEXT;

    private final RequestDispatcher dispatcher;

    @Inject
    public GatewayResource(final RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    @POST
    @Path("/topics/{space}/{topic}/messages")
    public CompletionStage<jakarta.ws.rs.core.Response> publish(
            @PathParam("space") final String space,
            @PathParam("topic") final String topic,
            @HeaderParam("Authorization") final String auth,
            final InputStream in)
            throws IOException {
        final byte[] body = RequestDispatcher.body(in, MAX_BODY);
        if (body == null) {
            return RequestDispatcher.now(
                    bad(413, List.of(new Finding("/", "body is larger than " + MAX_BODY + " bytes"))));
        }
        final List<Finding> findings = new ArrayList<>();
        JsonObject obj = JsonValue.EMPTY_JSON_OBJECT;
        try (JsonReader rd = Json.createReader(new ByteArrayInputStream(body))) {
            obj = rd.readObject();
        } catch (final JsonException | IllegalStateException ex) {
            return RequestDispatcher.now(bad(400, List.of(new Finding("/", "not a JSON object"))));
        }
        for (final String field : obj.keySet()) {
            if (!List.of("sender", "sequence", "message").contains(field)) {
                findings.add(new Finding("/" + field, "unknown field"));
            }
        }
        final String sender = obj.get("sender") instanceof JsonString s ? s.getString() : "";
        if (!sender.matches("[A-Za-z0-9._-]{1,64}")) {
            findings.add(new Finding("/sender", "must be 1 to 64 letters, digits or ._-"));
        }
        final long seq = obj.get("sequence") instanceof JsonNumber n
                        && n.isIntegral()
                        && n.bigIntegerValue().bitLength() < 63
                ? n.longValue()
                : -1;
        if (seq < 1) {
            findings.add(new Finding("/sequence", "must be a whole number from 1"));
        }
        final String text = obj.get("message") instanceof JsonString s ? s.getString() : null;
        if (text == null) {
            findings.add(new Finding("/message", "must be a string"));
        } else if (text.getBytes(UTF_8).length > MAX_TEXT) {
            return RequestDispatcher.now(
                    bad(413, List.of(new Finding("/message", "is larger than " + MAX_TEXT + " bytes"))));
        }
        if (!findings.isEmpty()) {
            return RequestDispatcher.now(bad(400, findings));
        }
        return dispatcher.ask(id -> new NodeRequest.Publish(id, key(auth), space + "/" + topic, sender, seq, text));
    }

    @GET
    @Path("/stream")
    public CompletionStage<jakarta.ws.rs.core.Response> stream(
            @QueryParam("topic") final List<String> topics,
            @QueryParam("cursor") final String cursor,
            @HeaderParam("Authorization") final String auth) {
        final long id = dispatcher.host().nextRequestId();
        final StreamedSession lines = new StreamedSession(dispatcher.host(), id);
        return dispatcher
                .host()
                .subscribe(id, new NodeRequest.Subscribe(id, key(auth), topics, cursor), lines)
                .thenApplyAsync(
                        r -> {
                            if (r.status() != 200) {
                                dispatcher.host().unsubscribe(id);
                                return RequestDispatcher.http(r);
                            }
                            return jakarta.ws.rs.core.Response.ok(lines, "application/x-ndjson")
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

    @GET
    @Path("/topics/{space}/{topic}/listeners")
    public CompletionStage<jakarta.ws.rs.core.Response> listeners(
            @PathParam("space") final String space,
            @PathParam("topic") final String topic,
            @QueryParam("session") final String session,
            @HeaderParam("Authorization") final String auth) {
        return dispatcher.ask(id -> new NodeRequest.Count(id, key(auth), space + "/" + topic, session));
    }

    @GET
    @Path("/explain")
    public CompletionStage<jakarta.ws.rs.core.Response> explain(
            @QueryParam("topic") final String topic, @HeaderParam("Authorization") final String auth) {
        return dispatcher.ask(id -> new NodeRequest.Explain(id, key(auth), topic == null ? "" : topic));
    }

    @POST
    @Path("/drain")
    public CompletionStage<jakarta.ws.rs.core.Response> drain(@QueryParam("on") final String on) {
        return dispatcher.ask(id -> new NodeRequest.Drain(id, !"false".equals(on)));
    }

    private static String key(final String auth) {
        return auth != null && auth.startsWith("Bearer ") ? auth.substring(7).trim() : "";
    }

    private static Response bad(final int status, final List<Finding> findings) {
        return new Response(status, 0, "{\"outcome\":\"refused\",\"findings\":" + Finding.json(findings) + "}");
    }
}
