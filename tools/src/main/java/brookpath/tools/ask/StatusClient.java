package brookpath.tools.ask;

import brookpath.coordination.configuration.Finding;
import jakarta.json.Json;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import java.io.IOException;
import java.io.StringReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Asks running processes over HTTP, and notes what could not be had. */
public final class StatusClient {
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private final List<Finding> missing = new ArrayList<>();

    public List<Finding> missing() {
        return missing;
    }

    /**
     * Null where it could not be had.
     *
     * @param key a caller's key, or empty
     */
    public JsonObject get(final String at, final String path, final String key) throws InterruptedException {
        try {
            final HttpResponse<String> r = http.send(
                    HttpRequest.newBuilder(URI.create("http://" + at + path))
                            .timeout(Duration.ofSeconds(5))
                            .header("Authorization", "Bearer " + key)
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            try (JsonReader rd = Json.createReader(new StringReader(r.body()))) {
                return rd.readObject();
            }
        } catch (final IOException | IllegalArgumentException ex) {
            missing.add(new Finding(at, "could not be reached: " + ex));
        } catch (final JsonException ex) {
            missing.add(new Finding(at + path, "did not respond as a brookpath process does: " + ex.getMessage()));
        }
        return null;
    }

    /** Findings on a list of host:port, as a flag gives it. */
    public static void check(final String flag, final String addresses, final List<Finding> findings) {
        for (final String at : addresses.split(",")) {
            if (!at.matches("[^:/]+:[0-9]{1,5}")) {
                findings.add(new Finding(flag, "\"" + at + "\" must be host:port"));
            }
        }
    }
}
