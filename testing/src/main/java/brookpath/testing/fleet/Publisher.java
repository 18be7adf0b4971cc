package brookpath.testing.fleet;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.testing.oracle.History;
import brookpath.testing.oracle.History.Sent;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Publishes one message at a time per sender and topic, and retries as the API requires of callers. */
final class Publisher {
    private static final int MAX_RETRIES = 60;
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final long DEFAULT_RETRY_MS = 200;
    private static final long RETRY_AFTER_RESET_MS = 100;
    private static final long JITTER_MASK = 63;
    private static final int NO_RESPONSE = 0;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final CallerContext context;
    private final LoadProfile profile;
    private final SplittableRandom random;
    private final Map<String, Long> sequences = new HashMap<>();
    private final Set<String> sendersInFlight = new HashSet<>();
    private final Map<String, Long> sentAtNanos = new ConcurrentHashMap<>();
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile boolean stopped;

    Publisher(final CallerContext context, final LoadProfile profile, final SplittableRandom random) {
        this.context = context;
        this.profile = profile;
        this.random = random;
    }

    /** Stops publishing new messages; those in flight are still retried. */
    void stop() {
        stopped = true;
    }

    int inFlight() {
        return inFlight.get();
    }

    /**
     * When the message's first attempt began, by {@link System#nanoTime}; null if this publisher did not publish the
     * message.
     */
    Long sentAtNanos(final String topic, final String sender, final long seq) {
        return sentAtNanos.get(id(topic, sender, seq));
    }

    private static String id(final String topic, final String sender, final long seq) {
        return topic + "|" + sender + "|" + seq;
    }

    /** Publishes one message to a random topic, unless its sender still has one in flight there. */
    void publishOne() {
        if (stopped) {
            return;
        }
        final Sent message;
        final String key;
        synchronized (this) {
            final int session = random.nextInt(profile.sessions());
            final String topic = profile.topic(random.nextInt(profile.topics()));
            if (!sendersInFlight.add(topic + "|s" + session)) {
                return;
            }
            key = profile.key(session);
            message = nextMessage(topic, session);
        }
        inFlight.incrementAndGet();
        sentAtNanos.put(id(message.topic, message.sender, message.seq), System.nanoTime());
        attempt(message, key, 0);
    }

    private Sent nextMessage(final String topic, final int session) {
        final String sender = "s" + session;
        final long seq = sequences.merge(topic + "|" + sender, 1L, Long::sum);
        final String text = "message " + seq + " of " + session + " about the weir at the old mill";
        final History history = context.history();
        synchronized (history) {
            final Sent message = history.sending(topic, sender, seq, text);
            message.sentAt = context.now();
            return message;
        }
    }

    private void attempt(final Sent message, final String key, final int retries) {
        // the name of this counter is the same as in the simulator
        context.measurements().count("publish goes");
        final long startedAt = System.nanoTime();
        final String body = "{\"sender\":\"" + message.sender + "\",\"sequence\":" + message.seq + ",\"message\":\""
                + message.text + "\"}";
        final HttpRequest request = context.request("/v1/topics/" + message.topic + "/messages", key)
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        context.http()
                .sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .whenComplete((response, ex) -> handleResponse(message, key, retries, startedAt, response));
    }

    private void handleResponse(
            final Sent message,
            final String key,
            final int retries,
            final long startedAt,
            final HttpResponse<String> response) {
        final int status = response == null ? NO_RESPONSE : response.statusCode();
        if (status == OK) {
            committed(message, key, startedAt, response.body());
            return;
        }
        if (status != SERVICE_UNAVAILABLE && status != UNAUTHORIZED) {
            message.maybeAppended = true;
        }
        if (status == UNAUTHORIZED && key.equals(profile.revocableKey())) {
            context.measurements().count("keys refused");
            done(message);
            return;
        }
        context.measurements().count(status == NO_RESPONSE ? "resets and time-outs" : "status " + status);
        final boolean isFinalRefusal = status >= BAD_REQUEST && status < SERVER_ERROR;
        if (isFinalRefusal || retries > MAX_RETRIES) {
            failed(message, status, retries);
            return;
        }
        final long delay = retryAfterMs(response) / 2 + (startedAt & JITTER_MASK);
        context.timer().schedule(() -> attempt(message, key, retries + 1), delay, MILLISECONDS);
    }

    private static long retryAfterMs(final HttpResponse<String> response) {
        if (response == null) {
            return RETRY_AFTER_RESET_MS;
        }
        return response.headers().firstValueAsLong("Brookpath-Retry-After-Ms").orElse(DEFAULT_RETRY_MS);
    }

    private void committed(final Sent message, final String key, final long startedAt, final String body) {
        context.measurements().committed(message.topic, System.nanoTime() - startedAt, context.now());
        final History history = context.history();
        synchronized (history) {
            context.keys().verifyUse(key, "published", context.now());
            final long position = JsonText.parse(body).getJsonNumber("position").longValue();
            history.committed(context.now(), message, position);
        }
        done(message);
    }

    private void failed(final Sent message, final int status, final int retries) {
        final History history = context.history();
        synchronized (history) {
            history.violation(
                    context.now(),
                    id(message.topic, message.sender, message.seq) + " ended with status " + status + " after "
                            + retries + " retries");
        }
        done(message);
    }

    private void done(final Sent message) {
        synchronized (this) {
            sendersInFlight.remove(message.topic + "|" + message.sender);
        }
        inFlight.decrementAndGet();
    }
}
