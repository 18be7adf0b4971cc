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

/** Hands callers' requests to the state thread, and its responses back to HTTP. */
public final class RequestDispatcher {
    private final Host host;
    private final ExecutorService traffic = Executors.newCachedThreadPool(run -> {
        final Thread th = new Thread(run, "traffic");
        th.setDaemon(true);
        return th;
    });

    public RequestDispatcher(final Host host) {
        this.host = host;
    }

    Host host() {
        return host;
    }

    ExecutorService traffic() {
        return traffic;
    }

    CompletionStage<jakarta.ws.rs.core.Response> ask(final LongFunction<NodeRequest> request) {
        return ask(request, r -> r);
    }

    CompletionStage<jakarta.ws.rs.core.Response> ask(
            final LongFunction<NodeRequest> request, final UnaryOperator<Response> then) {
        final long id = host.nextRequestId();
        // why: the state thread must not write to a caller's socket
        return host.submit(id, request.apply(id)).thenApplyAsync(r -> http(then.apply(r)), traffic);
    }

    static CompletionStage<jakarta.ws.rs.core.Response> now(final Response r) {
        return CompletableFuture.completedFuture(http(r));
    }

    static jakarta.ws.rs.core.Response http(final Response r) {
        final var rb = jakarta.ws.rs.core.Response.status(r.status())
                .type(APPLICATION_JSON)
                .entity(r.json() + "\n");
        if (r.retryAfterMs() > 0) {
            // why: the header counts whole seconds only; the finer figure stands beside it
            rb.header("Retry-After", (r.retryAfterMs() + 999) / 1000)
                    .header("Brookpath-Retry-After-Ms", r.retryAfterMs());
        }
        return rb.build();
    }

    /** Null where the body is longer. */
    static byte[] body(final InputStream in, final int max) throws IOException {
        final byte[] bytes = in.readNBytes(max + 1);
        return bytes.length > max ? null : bytes;
    }
}
