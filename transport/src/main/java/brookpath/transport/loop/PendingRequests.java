package brookpath.transport.loop;

import brookpath.coordination.message.Response;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** The callers' requests that have no response yet, by request ID. Thread-safe. */
final class PendingRequests {
    private static final int MAX_REQUESTS = 8_192;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String BUSY =
            "{\"outcome\":\"refused\",\"code\":\"busy\",\"why\":\"this node is overloaded\"}";

    private final Map<Long, CompletableFuture<Response>> responses = new ConcurrentHashMap<>();
    private final AtomicLong ids;
    private final LongAdder refused = new LongAdder();

    /** @param firstId the IDs above it are used by no earlier or later incarnation of this process */
    PendingRequests(final long firstId) {
        ids = new AtomicLong(firstId);
    }

    long nextId() {
        return ids.incrementAndGet();
    }

    boolean isFull() {
        return responses.size() > MAX_REQUESTS;
    }

    CompletableFuture<Response> add(final long requestId) {
        final CompletableFuture<Response> response = new CompletableFuture<>();
        responses.put(requestId, response);
        return response;
    }

    /** Refuses a request because too many are pending; its processing has not begun. */
    CompletableFuture<Response> refuse(final int retryAfterMs) {
        refused.increment();
        return CompletableFuture.completedFuture(new Response(SERVICE_UNAVAILABLE, retryAfterMs, BUSY));
    }

    /** Completes a request; does nothing if no such request is pending. */
    void complete(final long requestId, final Response response) {
        final CompletableFuture<Response> pending = responses.remove(requestId);
        if (pending != null) {
            // The response may have expired: the process may have been paused since the node decided on it.
            pending.complete(response.at(SystemClock.monotonicMs()));
        }
    }

    int size() {
        return responses.size();
    }

    /** The number of requests that {@link #refuse} refused since the process started. */
    long refusedCount() {
        return refused.sum();
    }
}
