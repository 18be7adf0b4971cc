package brookpath.transport.loop;

import brookpath.coordination.message.Response;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** The callers' requests that have no response yet. Thread-safe. */
final class PendingRequests {
    private static final int MAX_REQUESTS = 8_192;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String BUSY =
            "{\"outcome\":\"refused\",\"code\":\"busy\",\"why\":\"this node has more to do than it can\"}";

    private final Map<Long, CompletableFuture<Response>> responses = new ConcurrentHashMap<>();
    private final AtomicLong ids;
    private final LongAdder refused = new LongAdder();

    /** @param firstId above it lie IDs that no earlier or later incarnation of this process uses */
    PendingRequests(final long firstId) {
        ids = new AtomicLong(firstId);
    }

    long nextId() {
        return ids.incrementAndGet();
    }

    boolean full() {
        return responses.size() > MAX_REQUESTS;
    }

    CompletableFuture<Response> add(final long requestId) {
        final CompletableFuture<Response> response = new CompletableFuture<>();
        responses.put(requestId, response);
        return response;
    }

    /** The response to a request that is refused because too many are pending: nothing of it has begun. */
    CompletableFuture<Response> refuse(final int retryAfterMs) {
        refused.increment();
        return CompletableFuture.completedFuture(new Response(SERVICE_UNAVAILABLE, retryAfterMs, BUSY));
    }

    /** Completes a request; nothing happens where nobody waits for it. */
    void complete(final long requestId, final Response response) {
        final CompletableFuture<Response> pending = responses.remove(requestId);
        if (pending != null) {
            // why: this process may have been stopped between the decision and this moment
            pending.complete(response.at(SystemClock.monotonicMs()));
        }
    }

    int size() {
        return responses.size();
    }

    /** How many requests were refused by {@link #refuse} since the process started. */
    long refused() {
        return refused.sum();
    }
}
