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

/** Reads status pages of running processes over HTTP, and collects the failed reads. Not thread-safe. */
public final class StatusClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final List<Finding> unreadable = new ArrayList<>();

    /** The failed reads so far with their reasons; callers may add further ones. */
    public List<Finding> unreadable() {
        return unreadable;
    }

    /**
     * Reads a page; returns null and adds a finding if it cannot be read.
     *
     * @param address the HTTP address of the process, host:port
     * @param key the key of a caller; may be empty
     */
    public JsonObject get(final String address, final String path, final String key) throws InterruptedException {
        try {
            final HttpResponse<String> response = http.send(
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(REQUEST_TIMEOUT)
                            .header("Authorization", "Bearer " + key)
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            try (JsonReader reader = Json.createReader(new StringReader(response.body()))) {
                return reader.readObject();
            }
        } catch (final IOException | IllegalArgumentException ex) {
            unreadable.add(new Finding(address, "could not be reached: " + ex));
        } catch (final JsonException ex) {
            unreadable.add(new Finding(address + path, "did not respond like a brookpath process: " + ex.getMessage()));
        }
        return null;
    }

    /** Adds a finding for each entry of an option's comma-separated list that is not host:port. */
    public static void check(final String flag, final String addresses, final List<Finding> findings) {
        for (final String address : addresses.split(",")) {
            if (!address.matches("[^:/]+:[0-9]{1,5}")) {
                findings.add(new Finding(flag, "\"" + address + "\" must be host:port"));
            }
        }
    }
}
