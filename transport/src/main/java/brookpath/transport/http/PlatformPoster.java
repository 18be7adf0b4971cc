package brookpath.transport.http;

import brookpath.coordination.action.Action;
import brookpath.coordination.node.usage.PostOutcome;
import brookpath.transport.loop.Host;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Posts usage reports to the platform over HTTP/1.1, each with its idempotency key. */
public final class PlatformPoster implements Host.Poster {
    private final Duration timeout;
    private final HttpClient http;
    private volatile URI uri;

    /**
     * @param url where reports are posted; empty to post none, since totals can also be read from a controller
     * @param timeoutMs the timeout for connecting, and for the complete exchange
     */
    public PlatformPoster(final String url, final long timeoutMs) {
        setUrl(url);
        timeout = Duration.ofMillis(timeoutMs);
        http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(timeout)
                .build();
    }

    /** Changes where reports are posted from now on; empty to post none. Any thread may call it. */
    public void setUrl(final String url) {
        uri = url.isEmpty() ? null : URI.create(url);
    }

    @Override
    public CompletableFuture<PostOutcome> accept(final Action.Post post) {
        final URI target = uri;
        if (target == null) {
            return CompletableFuture.completedFuture(PostOutcome.ACCEPTED);
        }
        return http.sendAsync(
                        HttpRequest.newBuilder(target)
                                .timeout(timeout)
                                .header("Content-Type", "application/json")
                                .header("Idempotency-Key", post.key())
                                .POST(HttpRequest.BodyPublishers.ofString(post.json()))
                                .build(),
                        HttpResponse.BodyHandlers.discarding())
                .thenApply(response -> PostOutcome.ofStatus(response.statusCode()))
                .exceptionally(ex -> outcomeOfFailure(ex));
    }

    /**
     * Only a failed connection attempt proves that nothing was sent; after any later failure the outcome is unknown.
     */
    private static PostOutcome outcomeOfFailure(final Throwable ex) {
        final Throwable cause = ex instanceof CompletionException ? ex.getCause() : ex;
        return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException
                ? PostOutcome.NOT_SENT
                : PostOutcome.UNKNOWN;
    }
}
