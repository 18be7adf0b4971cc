package brookpath.coordination.configuration;

import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import java.util.List;

/** An error in a request, with the place as a JSON pointer. Findings are collected and reported together. */
public record Finding(String place, String what) {
    @Override
    public String toString() {
        return place + ": " + what;
    }

    /** The findings as a JSON array. */
    public static String toJson(final List<Finding> findings) {
        return toJsonArray(findings).build().toString();
    }

    /** The same finding with its place below a prefix, as part of a larger document. */
    public static JsonArrayBuilder toJsonArray(final List<Finding> findings) {
        final JsonArrayBuilder arr = Json.createArrayBuilder();
        findings.forEach(
                f -> arr.add(Json.createObjectBuilder().add("place", f.place).add("what", f.what)));
        return arr;
    }
}
