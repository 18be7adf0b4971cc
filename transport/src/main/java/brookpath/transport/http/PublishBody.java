package brookpath.transport.http;

import static brookpath.coordination.node.GatewayNode.MAX_MESSAGE_BYTES;
import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.configuration.Finding;
import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The validated JSON body of a publish request.
 *
 * @param sequence the sender's sequence number of the message, from 1
 */
record PublishBody(String sender, long sequence, String message) {
    /** The largest body that is accepted, in bytes. */
    static final int MAX_BYTES = 4 * MAX_MESSAGE_BYTES;

    private static final List<String> FIELDS = List.of("sender", "sequence", "message");
    private static final Pattern SENDER = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final int MAX_SEQUENCE_BITS = 62;
    private static final long NO_SEQUENCE = -1;

    /** The body is refused; the findings state the reasons. */
    static final class RefusedException extends Exception {
        private static final long serialVersionUID = 1L;

        private final boolean tooLarge;
        private final transient List<Finding> findings;

        RefusedException(final boolean tooLarge, final List<Finding> findings) {
            super(findings.toString());
            this.tooLarge = tooLarge;
            this.findings = findings;
        }

        /** Whether the body or the message exceeds its size limit, rather than being malformed. */
        boolean tooLarge() {
            return tooLarge;
        }

        List<Finding> findings() {
            return findings;
        }
    }

    /** @param body null if it was larger than {@link #MAX_BYTES} */
    static PublishBody parse(final byte[] body) throws RefusedException {
        if (body == null) {
            throw tooLarge("/", "body is larger than " + MAX_BYTES + " bytes");
        }
        final JsonObject object = object(body);
        final List<Finding> findings = new ArrayList<>();
        for (final String field : object.keySet()) {
            if (!FIELDS.contains(field)) {
                findings.add(new Finding("/" + field, "unknown field"));
            }
        }
        final String sender = text(object, "sender");
        if (sender == null || !SENDER.matcher(sender).matches()) {
            findings.add(new Finding("/sender", "must be 1 to 64 letters, digits or ._-"));
        }
        final long sequence = sequence(object);
        if (sequence < 1) {
            findings.add(new Finding("/sequence", "must be a whole number from 1"));
        }
        final String message = text(object, "message");
        if (message == null) {
            findings.add(new Finding("/message", "must be a string"));
        } else if (message.getBytes(UTF_8).length > MAX_MESSAGE_BYTES) {
            throw tooLarge("/message", "is larger than " + MAX_MESSAGE_BYTES + " bytes");
        }
        if (!findings.isEmpty()) {
            throw new RefusedException(false, findings);
        }
        return new PublishBody(sender, sequence, message);
    }

    private static JsonObject object(final byte[] body) throws RefusedException {
        try (JsonReader reader = Json.createReader(new ByteArrayInputStream(body))) {
            return reader.readObject();
        } catch (final JsonException | IllegalStateException ex) {
            throw new RefusedException(false, List.of(new Finding("/", "not a JSON object")));
        }
    }

    /** Null if the field is not a string. */
    private static String text(final JsonObject object, final String field) {
        final JsonValue value = object.get(field);
        return value instanceof JsonString string ? string.getString() : null;
    }

    private static long sequence(final JsonObject object) {
        return object.get("sequence") instanceof JsonNumber number
                        && number.isIntegral()
                        && number.bigIntegerValue().bitLength() <= MAX_SEQUENCE_BITS
                ? number.longValue()
                : NO_SEQUENCE;
    }

    private static RefusedException tooLarge(final String place, final String finding) {
        return new RefusedException(true, List.of(new Finding(place, finding)));
    }
}
