package brookpath.trial.fleet;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.concurrent.TimeUnit.MICROSECONDS;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.trial.oracle.History;
import brookpath.trial.oracle.History.Listener;
import brookpath.trial.oracle.History.Sent;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.ByteArrayInputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Flow;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;

/** Stand-in callers over HTTP, at a user's rates, with the simulator's oracle watching. */
public final class Load implements AutoCloseable {
    /** @param perSecond messages a second, over all topics */
    public record Profile(String name, int topics, double perSecond, int sessions, int tenants) {
        public static final Profile JADRAN = new Profile("jadran", 110, 45, 400, 8);
        public static final Profile SAJHA = new Profile("sajha", 450, 95, 400, 8);
        public static final Profile SMALL = new Profile("small", 12, 30, 24, 3);

        public String topic(final int i) {
            return (i % 3 == 0 ? "permits/t" : i % 3 == 1 ? "closures/t" : "clues/t") + i;
        }

        public String key(final int session) {
            // why: a few tenants are large
            final int t = Math.min(tenants - 1, 31 - Integer.numberOfLeadingZeros(1 + session % (1 << tenants)));
            return "key-tenant-" + t;
        }

        /** The tenant that half of the sessions belong to, and whose key operators take away and give back. */
        public String shakyKey() {
            return "key-tenant-" + (tenants - 1);
        }

        public String document(final long basedOn, final String changeId) {
            return document(basedOn, changeId, true);
        }

        public String document(final long basedOn, final String changeId, final boolean withShaky) {
            final StringBuilder sb =
                    new StringBuilder("{\"basedOn\":" + basedOn + ",\"changeId\":\"" + changeId + "\",\"spaces\":["
                            + "{\"name\":\"permits\",\"keepingSeconds\":30},{\"name\":\"closures\",\"keepingSeconds\":30},"
                            + "{\"name\":\"clues\",\"keepingSeconds\":30,\"order\":\"one\"}],\"tenants\":[");
            for (int i = 0; i < tenants; i++) {
                sb.append(i == 0 ? "" : ",")
                        .append("{\"name\":\"tenant-")
                        .append(i)
                        .append("\",\"spaces\":[\"permits\",\"closures\",\"clues\"],\"keys\":[")
                        .append(i == tenants - 1 && !withShaky ? "" : "\"key-tenant-" + i + "\"")
                        .append("]}");
            }
            return sb.append("]}").toString();
        }
    }

    private final Profile profile;
    private final Fleet fleet;
    private final History history = new History();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final SplittableRandom rnd;
    private final Histogram delivery = new Histogram(60_000_000, 3);
    private final Histogram acceptance = new Histogram(60_000_000, 3);
    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final Map<String, Long> seqs = new HashMap<>();
    private final Set<String> busy = new HashSet<>();
    private final List<Subscriber> subscribers = new ArrayList<>();
    private final TreeMap<String, Integer> counts = new TreeMap<>();
    private final TreeMap<Long, List<String>> acceptedTopics = new TreeMap<>();
    private final AtomicInteger underWay = new AtomicInteger();
    private volatile boolean quiet;
    private int late;
    private final long bornAt = System.nanoTime();
    private volatile List<Fleet.Unit> ready = List.of();

    public Load(final Fleet fleet, final Profile profile, final long seed) {
        this.fleet = fleet;
        this.profile = profile;
        rnd = new SplittableRandom(seed);
        timer.scheduleWithFixedDelay(this::lookForReady, 0, 250, MILLISECONDS);
    }

    /** The platform's part: it hands sessions to the nodes that say they are ready. */
    private void lookForReady() {
        final List<Fleet.Unit> list = new ArrayList<>();
        for (final Fleet.Unit u : fleet.fronts()) {
            try {
                if (u.alive() && !fleet.get(u, "/v1/ready").isEmpty()) {
                    list.add(u);
                }
            } catch (final InterruptedException ex) {
                return;
            }
        }
        ready = list;
    }

    private long now() {
        return (System.nanoTime() - bornAt) / 1_000_000;
    }

    // ---- a key that comes and goes

    private final Map<String, Long> removedAt = new ConcurrentHashMap<>();

    /** An operator was told that the key is gone. */
    public void removed(final String key) {
        removedAt.putIfAbsent(key, now());
    }

    /** A change is on its way that gives the key back, whether its operator hears of it or not. */
    public void grantUnderWay(final String key) {
        removedAt.remove(key);
    }

    private void keyWorked(final String key, final String did) {
        final Long at = removedAt.get(key);
        if (at != null && now() > at + 5_000) {
            history.violation(now(), key + " " + did + " " + (now() - at) + " ms after its removal was confirmed");
        }
    }

    /** The oracle, for those who judge besides; to be held while it is used. */
    public History history() {
        return history;
    }

    private synchronized Fleet.Unit anyFront() {
        final List<Fleet.Unit> list = ready.isEmpty() ? fleet.fronts() : ready;
        return list.get(rnd.nextInt(list.size()));
    }

    private synchronized void count(final String what) {
        counts.merge(what, 1, Integer::sum);
    }

    public void subscribe() {
        for (int i = 0; i < profile.sessions; i++) {
            final Set<String> topics = new LinkedHashSet<>();
            topics.add(profile.topic(i % profile.topics));
            topics.add(profile.topic(rnd.nextInt(profile.topics)));
            final Subscriber s = new Subscriber("session-" + i, profile.key(i), topics);
            subscribers.add(s);
            timer.schedule(s::connect, i * 5L, MILLISECONDS);
        }
    }

    public int listening() {
        return (int) subscribers.stream().filter(s -> s.listening).count();
    }

    public void publish() {
        final long everyUs = (long) (1_000_000 / profile.perSecond);
        timer.scheduleAtFixedRate(this::publishOne, everyUs, everyUs, MICROSECONDS);
    }

    private void publishOne() {
        if (quiet) {
            return;
        }
        final Sent s;
        final String key;
        synchronized (this) {
            final int session = rnd.nextInt(profile.sessions);
            final String topic = profile.topic(rnd.nextInt(profile.topics));
            final String line = topic + "|s" + session;
            if (!busy.add(line)) {
                return;
            }
            key = profile.key(session);
            final long seq = seqs.merge(line, 1L, Long::sum);
            synchronized (history) {
                s = history.sending(
                        topic,
                        "s" + session,
                        seq,
                        "message " + seq + " of " + session + " about the weir at the old mill");
                s.sentAt = now();
            }
        }
        underWay.incrementAndGet();
        sentAt.put(s.topic + "|" + s.sender + "|" + s.seq, System.nanoTime());
        go(s, key, 0);
    }

    private void go(final Sent s, final String key, final int goes) {
        count("publish goes");
        final long at = System.nanoTime();
        final String body =
                "{\"sender\":\"" + s.sender + "\",\"sequence\":" + s.seq + ",\"message\":\"" + s.text + "\"}";
        http.sendAsync(
                        HttpRequest.newBuilder(URI.create(anyFront().callersUrl("/v1/topics/" + s.topic + "/messages")))
                                .timeout(Duration.ofSeconds(3))
                                .header("Authorization", "Bearer " + key)
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .whenComplete((r, ex) -> {
                    final int status = r == null ? 0 : r.statusCode();
                    if (status == 200) {
                        synchronized (this) {
                            acceptance.recordValue((System.nanoTime() - at) / 1000);
                            acceptedTopics
                                    .computeIfAbsent(now(), k -> new ArrayList<>())
                                    .add(s.topic);
                        }
                        synchronized (history) {
                            keyWorked(key, "published");
                            history.accepted(
                                    now(),
                                    s,
                                    json(r.body()).getJsonNumber("position").longValue());
                        }
                        done(s);
                        return;
                    }
                    if (status != 503 && status != 401) {
                        s.maybeAppended = true;
                    }
                    if (status == 401 && key.equals(profile.shakyKey())) {
                        count("keys refused");
                        done(s);
                        return;
                    }
                    count(status == 0 ? "resets and time-outs" : "status " + status);
                    if (status == 409 || (status >= 400 && status < 500) || goes > 60) {
                        synchronized (history) {
                            history.violation(
                                    now(),
                                    s.topic + "|" + s.sender + "|" + s.seq + " ended with status " + status + " after "
                                            + goes + " goes");
                        }
                        done(s);
                        return;
                    }
                    final long wait = r == null
                            ? 100
                            : r.headers()
                                    .firstValueAsLong("Brookpath-Retry-After-Ms")
                                    .orElse(200);
                    timer.schedule(() -> go(s, key, goes + 1), wait / 2 + (at & 63), MILLISECONDS);
                });
    }

    private void done(final Sent s) {
        synchronized (this) {
            busy.remove(s.topic + "|" + s.sender);
        }
        underWay.decrementAndGet();
    }

    private static JsonObject json(final String text) {
        try (var rd = Json.createReader(new ByteArrayInputStream(text.getBytes(UTF_8)))) {
            return rd.readObject();
        }
    }

    private final class Subscriber {
        final String key;
        final Set<String> topics;
        final Listener listener;
        String cursor;
        volatile boolean listening;
        long listeningSince;

        Subscriber(final String name, final String key, final Set<String> topics) {
            this.key = key;
            this.topics = topics;
            synchronized (history) {
                listener = history.listener(name, topics);
            }
        }

        void connect() {
            final StringBuilder path = new StringBuilder("/v1/stream?cursor=").append(cursor == null ? "" : cursor);
            topics.forEach(t -> path.append("&topic=").append(t));
            http.sendAsync(
                            HttpRequest.newBuilder(URI.create(anyFront().callersUrl(path.toString())))
                                    .header("Authorization", "Bearer " + key)
                                    .build(),
                            info -> {
                                if (info.statusCode() != 200) {
                                    count("subscribe status " + info.statusCode());
                                    if (info.statusCode() == 410) {
                                        synchronized (history) {
                                            history.refusedResume(now(), listener, 30_000);
                                            listener.entitled = false;
                                        }
                                    } else if (info.statusCode() == 401) {
                                        listener.entitled = false;
                                    }
                                }
                                return info.statusCode() == 200
                                        ? HttpResponse.BodySubscribers.fromLineSubscriber(new Lines())
                                        : HttpResponse.BodySubscribers.replacing(null);
                            })
                    .whenComplete((r, ex) -> {
                        listening = false;
                        if (!timer.isShutdown()) {
                            count("sessions ended");
                            timer.schedule(this::connect, 50 + (System.nanoTime() & 255), MILLISECONDS);
                        }
                    });
        }

        void line(final String line) {
            final JsonObject obj = json(line);
            if (obj.getString("type").equals("closed")) {
                count("closed: " + obj.getString("why"));
                return;
            }
            cursor = obj.getString("cursor");
            final long at = System.nanoTime();
            if (!listening) {
                listening = true;
                listeningSince = at;
            }
            synchronized (history) {
                keyWorked(key, "received");
                if (obj.getString("type").equals("message")) {
                    final String topic = obj.getString("topic");
                    final long position = obj.getJsonNumber("position").longValue();
                    final String sender = obj.getString("sender");
                    final long seq = obj.getJsonNumber("sequence").longValue();
                    history.begunIfNot(now(), listener, topic, position);
                    history.delivered(
                            now(),
                            listener,
                            topic,
                            position,
                            sender,
                            seq,
                            obj.getString("message"),
                            topic.startsWith("clues/"),
                            -1);
                    final Long sent = sentAt.get(topic + "|" + sender + "|" + seq);
                    // why: who was away when it was sent gets it on coming back, which says nothing of the delivery
                    if (sent != null && sent >= listeningSince) {
                        late += at - sent > 2_000_000_000L ? 1 : 0;
                        delivery.recordValue(Math.min(60_000_000, (at - sent) / 1000));
                    }
                } else {
                    final Map<String, Long> from = new HashMap<>();
                    for (final String part : new String(Base64.getUrlDecoder().decode(cursor), UTF_8).split(",")) {
                        from.put(
                                part.substring(0, part.indexOf('@')),
                                Long.parseLong(part.substring(part.indexOf('@') + 1)));
                    }
                    history.begun(now(), listener, from);
                }
            }
        }

        private final class Lines implements Flow.Subscriber<String> {
            @Override
            public void onSubscribe(final Flow.Subscription subscription) {
                subscription.request(Long.MAX_VALUE);
            }

            @Override
            public void onNext(final String item) {
                line(item);
            }

            @Override
            public void onError(final Throwable throwable) {
                // why: the session's end is handled where its response completes
            }

            @Override
            public void onComplete() {
                // why: as above
            }
        }
    }

    /** Forgets the figures so far, so that a warm-up is not measured. */
    public synchronized void measureFromHere() {
        synchronized (history) {
            delivery.reset();
        }
        acceptance.reset();
    }

    /** How long after the given time the next acceptance on an affected topic came; -1 for never. */
    public synchronized long gapAfter(final long time, final java.util.function.Predicate<String> affected) {
        long first = -1;
        for (final Map.Entry<Long, List<String>> e :
                acceptedTopics.tailMap(time + 1).entrySet()) {
            if (e.getValue().stream().anyMatch(affected)) {
                first = e.getKey() - time;
                break;
            }
        }
        return first;
    }

    public long clock() {
        return now();
    }

    /** Stops publishing, waits until nothing is under way and all is delivered, and judges. */
    public History settle() throws InterruptedException {
        quiet = true;
        for (int i = 0; i < 200 && underWay.get() > 0; i++) {
            Thread.sleep(100);
        }
        Thread.sleep(2_500);
        synchronized (history) {
            history.settle(now());
        }
        return history;
    }

    /** The usage reports, tenant by tenant, against what the senders know. */
    public void settleUsage() {
        synchronized (history) {
            for (int i = 0; i < profile.tenants; i++) {
                final String key = "key-tenant-" + i;
                history.usage.settle(
                        now(),
                        "tenant-" + i,
                        s -> profile.key(Integer.parseInt(s.sender.substring(1)))
                                .equals(key));
            }
        }
    }

    public synchronized String report() {
        final Histogram d = delivery;
        return String.format(
                "%s: accepted %d, delivered %d, %d of them to listeners after more than 2 s; publish-to-delivery ms median %.1f p99 %.1f max %.1f (p99 %.2f of 150 ms, max %.2f of 2 s); "
                        + "acceptance ms median %.1f p99 %.1f max %.1f; %s",
                profile.name,
                history.accepted(),
                history.delivered(),
                late,
                d.getValueAtPercentile(50) / 1000.0,
                d.getValueAtPercentile(99) / 1000.0,
                d.getMaxValue() / 1000.0,
                d.getValueAtPercentile(99) / 150_000.0,
                d.getMaxValue() / 2_000_000.0,
                acceptance.getValueAtPercentile(50) / 1000.0,
                acceptance.getValueAtPercentile(99) / 1000.0,
                acceptance.getMaxValue() / 1000.0,
                counts);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
