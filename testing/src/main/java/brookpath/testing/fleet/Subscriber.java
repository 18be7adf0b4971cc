package brookpath.testing.fleet;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.testing.oracle.History;
import brookpath.testing.oracle.History.Listener;
import jakarta.json.JsonObject;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Flow;

/** A caller that subscribes to topics, and resumes from its cursor whenever its session ends. */
final class Subscriber {
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int GONE = 410;
    private static final long RETENTION_MS = 30_000;
    private static final long RECONNECT_MS = 50;
    private static final long RECONNECT_JITTER_MASK = 255;

    /** Prefix of the topics whose space has a single order over all its topics. */
    private static final String TOTAL_ORDER_PREFIX = "clues/";

    /** Passed to {@link History#delivered}, because latencies are measured here and not by the oracle. */
    private static final long LATENCY_NOT_CHECKED = -1;

    private final CallerContext context;
    private final Publisher publisher;
    private final String key;
    private final Set<String> topics;
    private final Listener listener;
    private String cursor;
    private volatile boolean listening;
    private long listeningSinceNanos;

    Subscriber(
            final CallerContext context,
            final Publisher publisher,
            final String name,
            final String key,
            final Set<String> topics) {
        this.context = context;
        this.publisher = publisher;
        this.key = key;
        this.topics = topics;
        synchronized (context.history()) {
            listener = context.history().listener(name, topics);
        }
    }

    boolean isListening() {
        return listening;
    }

    void connect() {
        final StringBuilder path = new StringBuilder("/v1/stream?cursor=").append(cursor == null ? "" : cursor);
        topics.forEach(topic -> path.append("&topic=").append(topic));
        final HttpRequest request = context.request(path.toString(), key).build();
        context.http().sendAsync(request, this::beginSession).whenComplete((response, ex) -> ended());
    }

    private HttpResponse.BodySubscriber<Void> beginSession(final HttpResponse.ResponseInfo info) {
        if (info.statusCode() != OK) {
            refused(info.statusCode());
            return HttpResponse.BodySubscribers.replacing(null);
        }
        return HttpResponse.BodySubscribers.fromLineSubscriber(new StreamedSession());
    }

    private void refused(final int status) {
        context.measurements().count("subscribe status " + status);
        if (status == GONE) {
            synchronized (context.history()) {
                context.history().resumeRefused(context.now(), listener, RETENTION_MS);
                listener.expectsAllMessages = false;
            }
        } else if (status == UNAUTHORIZED) {
            listener.expectsAllMessages = false;
        }
    }

    private void ended() {
        listening = false;
        if (!context.timer().isShutdown()) {
            context.measurements().count("sessions ended");
            final long delay = RECONNECT_MS + (System.nanoTime() & RECONNECT_JITTER_MASK);
            context.timer().schedule(this::connect, delay, MILLISECONDS);
        }
    }

    private void handleLine(final String text) {
        final JsonObject line = JsonText.parse(text);
        final String type = line.getString("type");
        if (type.equals("closed")) {
            context.measurements().count("closed: " + line.getString("why"));
            return;
        }
        cursor = line.getString("cursor");
        final long at = System.nanoTime();
        if (!listening) {
            listening = true;
            listeningSinceNanos = at;
        }
        synchronized (context.history()) {
            context.keys().verifyUse(key, "received", context.now());
            if (type.equals("message")) {
                delivered(line, at);
            } else {
                context.history().subscribedAt(context.now(), listener, positions(cursor));
            }
        }
    }

    private void delivered(final JsonObject message, final long at) {
        final String topic = message.getString("topic");
        final long position = message.getJsonNumber("position").longValue();
        final String sender = message.getString("sender");
        final long seq = message.getJsonNumber("sequence").longValue();
        final History history = context.history();
        history.subscribedAtOrBefore(context.now(), listener, topic, position);
        history.delivered(
                context.now(),
                listener,
                topic,
                position,
                sender,
                seq,
                message.getString("message"),
                topic.startsWith(TOTAL_ORDER_PREFIX),
                LATENCY_NOT_CHECKED);
        final Long sentAt = publisher.sentAtNanos(topic, sender, seq);
        // a message sent while this session was interrupted arrives on resume, so its delay is not a delivery latency
        if (sentAt != null && sentAt >= listeningSinceNanos) {
            context.measurements().delivered(at - sentAt);
        }
    }

    /** The position of each topic that the cursor names. */
    private static Map<String, Long> positions(final String cursor) {
        final Map<String, Long> positions = new HashMap<>();
        final String text = new String(Base64.getUrlDecoder().decode(cursor), UTF_8);
        for (final String part : text.split(",")) {
            final int separator = part.indexOf('@');
            positions.put(part.substring(0, separator), Long.parseLong(part.substring(separator + 1)));
        }
        return positions;
    }

    private final class StreamedSession implements Flow.Subscriber<String> {
        @Override
        public void onSubscribe(final Flow.Subscription subscription) {
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(final String item) {
            handleLine(item);
        }

        @Override
        public void onError(final Throwable throwable) {
            // the end of the session is handled when the response completes, see connect()
        }

        @Override
        public void onComplete() {
            // as above
        }
    }
}
