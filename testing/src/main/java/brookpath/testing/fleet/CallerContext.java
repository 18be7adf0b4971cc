package brookpath.testing.fleet;

import brookpath.testing.oracle.History;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

/**
 * What all callers of a run share.
 *
 * @param history the oracle, to be held while it is used
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

    /** A request to any gateway that is ready. */
    HttpRequest.Builder request(final String path, final String key) {
        return HttpRequest.newBuilder(URI.create(gateways.any().callersUrl(path)))
                .header("Authorization", "Bearer " + key);
    }
}
