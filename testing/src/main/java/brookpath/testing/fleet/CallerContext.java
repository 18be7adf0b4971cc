package brookpath.testing.fleet;

import brookpath.testing.oracle.History;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

/**
 * Context that all simulated callers of a run share.
 *
 * @param history the oracle, guarded by its own monitor
 * @param clock milliseconds since the run began
 */
record CallerContext(
        HttpClient http,
        ScheduledExecutorService timer,
        ReadyGateways gateways,
        History history,
        RemovedKeys keys,
        Measurements measurements,
        LongSupplier clock) {
    long now() {
        return clock.getAsLong();
    }

    /** Builds a request to any ready gateway, authorized with the key. */
    HttpRequest.Builder request(final String path, final String key) {
        return HttpRequest.newBuilder(URI.create(gateways.any().callerUrl(path)))
                .header("Authorization", "Bearer " + key);
    }
}
