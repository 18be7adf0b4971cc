package brookpath.transport.http;

import static jakarta.ws.rs.core.MediaType.APPLICATION_JSON;

import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import brookpath.transport.loop.Host;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongFunction;
import java.util.function.UnaryOperator;

/**
 * Submits callers' requests to the state thread and completes the HTTP responses on a thread pool of its own.
 * Thread-safe.
 */
public final class RequestDispatcher {
    private static final int MILLIS_PER_SECOND = 1_000;

    private final Host host;
    private final ExecutorService trafficExecutor = Executors.newCachedThreadPool(run -> {
        final Thread thread = new Thread(run, "traffic");
        thread.setDaemon(true);
        return thread;
    });

    /** @param host runs the node that processes the requests */
    public RequestDispatcher(final Host host) {
        this.host = host;
    }

    Host host() {
        return host;
    }

    ExecutorService trafficExecutor() {
        return trafficExecutor;
    }

    /** @param request builds the request with the ID that was assigned to it */
    CompletionStage<jakarta.ws.rs.core.Response> submit(final LongFunction<NodeRequest> request) {
        return submit(request, response -> response);
    }

    CompletionStage<jakarta.ws.rs.core.Response> submit(
            final LongFunction<NodeRequest> request, final UnaryOperator<Response> transform) {
        final long id = host.nextRequestId();
        // The state thread must not block on a write to a caller's socket.
        return host.submit(id, request.apply(id))
                .thenApplyAsync(response -> toHttp(transform.apply(response)), trafficExecutor);
    }

    static CompletionStage<jakarta.ws.rs.core.Response> completed(final Response response) {
        return CompletableFuture.completedFuture(toHttp(response));
    }

    static jakarta.ws.rs.core.Response toHttp(final Response response) {
        final var builder = jakarta.ws.rs.core.Response.status(response.status())
                .type(APPLICATION_JSON)
                .entity(response.json() + "\n");
        if (response.retryAfterMs() > 0) {
            // Retry-After is in whole seconds; a second header gives the milliseconds.
            builder.header("Retry-After", (response.retryAfterMs() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)
                    .header("Brookpath-Retry-After-Ms", response.retryAfterMs());
        }
        return builder.build();
    }

    /** Reads the body; null if it is longer than {@code max} bytes. */
    static byte[] readBody(final InputStream in, final int max) throws IOException {
        final byte[] bytes = in.readNBytes(max + 1);
        return bytes.length > max ? null : bytes;
    }
}
