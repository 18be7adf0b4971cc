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

/** Posts usage reports to the platform over HTTP/1.1, each under its idempotency key. */
public final class PlatformPoster implements Host.Poster {
    private final Duration timeout;
    private final HttpClient http;
    private volatile URI uri;

    /**
     * @param url where reports are posted; empty for nowhere, since totals can also be read from a controller
     * @param timeoutMs for connecting, and for the complete exchange
     */
    public PlatformPoster(final String url, final long timeoutMs) {
        url(url);
        timeout = Duration.ofMillis(timeoutMs);
        http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(timeout)
                .build();
    }

    /** Changes where reports are posted from now on; empty for nowhere. Any thread may call it. */
    public void url(final String url) {
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
                .exceptionally(ex -> unanswered(ex));
    }

    /** Only a failed connect proves that nothing was sent; any later failure leaves the outcome unknown. */
    private static PostOutcome unanswered(final Throwable ex) {
        final Throwable cause = ex instanceof CompletionException ? ex.getCause() : ex;
        return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException
                ? PostOutcome.NOT_SENT
                : PostOutcome.UNKNOWN;
    }
}
