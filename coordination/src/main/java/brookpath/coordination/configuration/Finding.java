package brookpath.coordination.configuration;

import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import java.util.List;

/**
 * An error in a document or in the settings, with its place as a JSON pointer. All findings are collected and reported
 * together.
 */
public record Finding(String place, String what) {
    @Override
    public String toString() {
        return place + ": " + what;
    }

    /** The findings as the text of a JSON array. */
    public static String toJson(final List<Finding> findings) {
        return toJsonArray(findings).build().toString();
    }

    /** The findings as a JSON array, to be added to a larger document. */
    public static JsonArrayBuilder toJsonArray(final List<Finding> findings) {
        final JsonArrayBuilder arr = Json.createArrayBuilder();
        findings.forEach(
                f -> arr.add(Json.createObjectBuilder().add("place", f.place).add("what", f.what)));
        return arr;
    }
}
