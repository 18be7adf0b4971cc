package brookpath.testing.sim;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.message.Response;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.ByteArrayInputStream;

/**
 * A parsed response of the control plane.
 *
 * @param kind the kind of call that it answers; empty if the response does not tell
 * @param subject the change or the node that it names; empty for none
 * @param version the version that it names; 0 for none
 * @param document the configuration that it contains; empty for none
 * @param empty whether it reports that a node holds no replicas
 */
record ControlAnswer(String kind, String subject, long version, String document, boolean empty) {
    static final String CHANGE = "change";
    static final String READ = "spec";
    static final String RETIRE = "retireNamed";
    static final String RETIREMENT = "retired";

    private static final String DOCUMENT = "\"document\":";

    static ControlAnswer of(final Response response) {
        final JsonObject answer = json(response.json());
        final long version =
                answer.containsKey("version") ? answer.getJsonNumber("version").longValue() : 0;
        if (answer.containsKey("document")) {
            return new ControlAnswer(READ, "", version, document(response.json()), false);
        }
        if (answer.containsKey("changeId")) {
            return new ControlAnswer(CHANGE, answer.getString("changeId"), version, "", false);
        }
        if (answer.containsKey("node") && answer.getString("outcome", "").equals("retiring")) {
            return new ControlAnswer(RETIRE, String.valueOf(answer.getInt("node")), version, "", false);
        }
        if (answer.containsKey("empty")) {
            return new ControlAnswer(RETIREMENT, "", version, "", answer.getBoolean("empty"));
        }
        return new ControlAnswer("", "", version, "", false);
    }

    /** The ID of the change that introduced a configuration. */
    static String changeIdOf(final String document) {
        return json(document).getString("changeId", "");
    }

    /** The configuration exactly as the response contains it, unparsed. */
    private static String document(final String json) {
        return json.substring(json.indexOf(DOCUMENT) + DOCUMENT.length(), json.lastIndexOf('}'));
    }

    private static JsonObject json(final String text) {
        try (var reader = Json.createReader(new ByteArrayInputStream(text.getBytes(UTF_8)))) {
            return reader.readObject();
        }
    }
}
