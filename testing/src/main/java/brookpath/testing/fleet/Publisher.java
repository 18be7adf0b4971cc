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

/** Publishes at the profile's rate, one message at a time per sender and topic, and retries as callers are told to. */
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
    private final Set<String> busy = new HashSet<>();
    private final Map<String, Long> sentAtNanos = new ConcurrentHashMap<>();
    private final AtomicInteger underWay = new AtomicInteger();
    private volatile boolean stopped;

    Publisher(final CallerContext context, final LoadProfile profile, final SplittableRandom random) {
        this.context = context;
        this.profile = profile;
        this.random = random;
    }

    /** Publishes no new message; what is under way is retried on. */
    void stop() {
        stopped = true;
    }

    int underWay() {
        return underWay.get();
    }

    /** When the message's first attempt began, by {@link System#nanoTime}; null for a message of somebody else. */
    Long sentAtNanos(final String topic, final String sender, final long seq) {
        return sentAtNanos.get(id(topic, sender, seq));
    }

    private static String id(final String topic, final String sender, final long seq) {
        return topic + "|" + sender + "|" + seq;
    }

    /** Publishes one message, unless its sender still waits for the response to the one before. */
    void publishOne() {
        if (stopped) {
            return;
        }
        final Sent message;
        final String key;
        synchronized (this) {
            final int session = random.nextInt(profile.sessions());
            final String topic = profile.topic(random.nextInt(profile.topics()));
            if (!busy.add(topic + "|s" + session)) {
                return;
            }
            key = profile.key(session);
            message = nextMessage(topic, session);
        }
        underWay.incrementAndGet();
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
        // the oracle's reports name attempts so
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
                .whenComplete((response, ex) -> completed(message, key, retries, startedAt, response));
    }

    private void completed(
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
        if (status == UNAUTHORIZED && key.equals(profile.shakyKey())) {
            context.measurements().count("keys refused");
            done(message);
            return;
        }
        context.measurements().count(status == NO_RESPONSE ? "resets and time-outs" : "status " + status);
        final boolean refusedForGood = status >= BAD_REQUEST && status < SERVER_ERROR;
        if (refusedForGood || retries > MAX_RETRIES) {
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
            context.keys().worked(key, "published", context.now());
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
                            + retries + " goes");
        }
        done(message);
    }

    private void done(final Sent message) {
        synchronized (this) {
            busy.remove(message.topic + "|" + message.sender);
        }
        underWay.decrementAndGet();
    }
}
