package brookpath.testing.fleet;

import jakarta.json.Json;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import java.io.StringReader;

/** Parses JSON objects. */
final class JsonText {
    private JsonText() {}

    static JsonObject parse(final String text) {
        try (JsonReader reader = Json.createReader(new StringReader(text))) {
            return reader.readObject();
        }
    }
}
