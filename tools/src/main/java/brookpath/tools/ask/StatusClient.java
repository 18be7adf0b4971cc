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

/** Reads pages of running processes over HTTP, and collects what could not be read. Used by one thread. */
public final class StatusClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final List<Finding> missing = new ArrayList<>();

    /** What could not be read so far, and why; callers may add to it. */
    public List<Finding> missing() {
        return missing;
    }

    /**
     * Reads a page; null, with a finding, where it cannot be read.
     *
     * @param at the process, host:port
     * @param key a caller's key, or empty
     */
    public JsonObject get(final String at, final String path, final String key) throws InterruptedException {
        try {
            final HttpResponse<String> response = http.send(
                    HttpRequest.newBuilder(URI.create("http://" + at + path))
                            .timeout(REQUEST_TIMEOUT)
                            .header("Authorization", "Bearer " + key)
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            try (JsonReader reader = Json.createReader(new StringReader(response.body()))) {
                return reader.readObject();
            }
        } catch (final IOException | IllegalArgumentException ex) {
            missing.add(new Finding(at, "could not be reached: " + ex));
        } catch (final JsonException ex) {
            missing.add(new Finding(at + path, "did not respond as a brookpath process does: " + ex.getMessage()));
        }
        return null;
    }

    /** Adds a finding for each entry of a flag's list that is not host:port. */
    public static void check(final String flag, final String addresses, final List<Finding> findings) {
        for (final String at : addresses.split(",")) {
            if (!at.matches("[^:/]+:[0-9]{1,5}")) {
                findings.add(new Finding(flag, "\"" + at + "\" must be host:port"));
            }
        }
    }
}
