package brookpath.coordination.spec;

import java.util.List;

/** Something wrong, and where. Findings are collected and reported together. */
public record Finding(String place, String what) {
    @Override
    public String toString() {
        return place + ": " + what;
    }

    public static String json(final List<Finding> findings) {
        final var arr = jakarta.json.Json.createArrayBuilder();
        findings.forEach(f -> arr.add(jakarta.json.Json.createObjectBuilder().add("place", f.place).add("what", f.what)));
        return arr.build().toString();
    }
}
