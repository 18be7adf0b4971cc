import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * All storage processes are killed once and start again, and most connections of clients are reset meanwhile. After the
 * recovery time, subscribers that stay connected must get each message that is owed to them, and a new client that takes
 * up saved places must get what was acknowledged after them.
 */
public final class StoresOut {
    private static final String SPACE = "kafi810";
    private static final String KEY = "wrr6x73d3zji9n73hh2b";
    private static final int TOPICS = 600;
    private static final int SUBSCRIBERS = 360;
    private static final int TOPICS_EACH = 100;
    /** How long clients wait for an answer. */
    private static final int TIMEOUT_MS = 900;

    private static final double PER_SECOND = 60;
    private static final int BODY_BYTES = 100;
    private static final double RESET_SHARE = 0.8;
    private static final long DARK_MS = 2_800;
    private static final long TAKE_UP_MS = 14_000;
    /** RecoveryS: messages that are acknowledged earlier after the return are not judged. */
    private static final long RECOVERY_MS = 12_000;

    /** LOST: how long a subscriber stays after the acknowledgement, and the span in which an older message excuses. */
    private static final long STAY_MS = 4_000;

    private static final long EXCUSE_MS = 2_000;
    private static final int MAX_RECORDED = 10;

    private static final int PLACES = 30;

    /** The messages of the saved places that the new client has got. */
    private final Set<String> takenUp = ConcurrentHashMap.newKeySet();

    private final Map<String, Long> deliveredAt = new ConcurrentHashMap<>();
    private final Map<String, Queue<Long>> deliveriesAt = new ConcurrentHashMap<>();
    private final Rig rig;
    private final boolean trouble;
    private final List<Subscriber> subscribers = new ArrayList<>();

    private StoresOut(final Rig rig, final boolean trouble) {
        this.rig = rig;
        this.trouble = trouble;
    }

    /** @param args the record file, and 0 to leave out the disruption */
    public static void main(final String[] args) {
        int exit = 2;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            exit = new StoresOut(rig, !args[1].equals("0")).run();
        } catch (final Exception ex) {
            // Every exit code but 1 and 0 says that the case could not run.
            System.err.println("the case could not run: " + ex);
            exit = 2;
        }
        System.exit(exit);
    }

    private int run() throws IOException, InterruptedException {
        rig.layOut(3, 0, 4);
        rig.startAll();
        rig.configure(0, Rig.configuration(1, SPACE, KEY, TIMEOUT_MS));
        if (!Rig.await(15_000, () -> rig.gateways.stream().allMatch(rig::isReady))) {
            throw new IllegalStateException("the gateways are not ready");
        }
        startSubscribers();
        final Load load = new Load(rig, SPACE, KEY, TOPICS, BODY_BYTES, PER_SECOND);
        load.start(30);
        if (!Rig.await(30_000, () -> subscribers.stream().allMatch(Subscriber::isSubscribed))) {
            throw new IllegalStateException("the clients are not subscribed");
        }
        rig.record(SUBSCRIBERS + " clients hold " + SUBSCRIBERS * TOPICS_EACH + " subscriptions");
        TimeUnit.SECONDS.sleep(8);
        rig.record("publishers: " + load.counts());

        final Map<String, String> places = savePlaces();
        final List<String> acknowledged = publishAfter(places);
        rig.record(acknowledged.size() + " messages acknowledged after " + places.size() + " saved places");
        if (acknowledged.isEmpty()) {
            throw new IllegalStateException("nothing was acknowledged");
        }
        if (trouble) {
            disrupt();
        } else {
            TimeUnit.MILLISECONDS.sleep(DARK_MS);
        }
        final long judgedFromMs = rig.nowMs() + RECOVERY_MS;
        reportUntil(judgedFromMs, load);
        final boolean placesHeld = takeUp(places, acknowledged, load);
        load.close();
        final long untilMs = rig.nowMs();
        subscribers.forEach(subscriber -> subscriber.ended = true);
        TimeUnit.MILLISECONDS.sleep(500);
        final boolean staysHeld = areOwedDelivered(load, judgedFromMs, untilMs);
        rig.record(placesHeld && staysHeld ? "held" : "BROKEN: LOST");
        return placesHeld && staysHeld ? 0 : 1;
    }

    private void reportUntil(final long untilMs, final Load load) throws InterruptedException {
        while (rig.nowMs() < untilMs) {
            TimeUnit.MILLISECONDS.sleep(Math.min(4_000, Math.max(1, untilMs - rig.nowMs())));
            report(load);
        }
    }

    /** The cursors that some clients hold, by topic. */
    private Map<String, String> savePlaces() {
        final Map<String, String> places = new TreeMap<>();
        for (final Subscriber subscriber : subscribers) {
            for (final Map.Entry<String, String> entry : subscriber.cursors.entrySet()) {
                if (places.size() < PLACES) {
                    places.putIfAbsent(entry.getKey(), entry.getValue());
                }
            }
        }
        return places;
    }

    /** Publishes a message to each topic of the places; returns the numbers of those that were acknowledged. */
    private List<String> publishAfter(final Map<String, String> places) throws IOException, InterruptedException {
        final List<String> acknowledged = Collections.synchronizedList(new ArrayList<>());
        final boolean[] open = new boolean[1];
        try (LineClient client = new LineClient(
                "witness", rig.gateways.get(0).ip, Rig.FRONTEND_PORT, (c, words, body) -> {
                    if (words[0].equals("OK")) {
                        open[0] = true;
                    } else if (words[0].equals("ACCEPTED")) {
                        acknowledged.add(words[2]);
                    }
                })) {
            client.hello(KEY);
            Rig.await(TIMEOUT_MS, () -> open[0]);
            long sequence = 0;
            for (final String topic : places.keySet()) {
                client.publish(topic, ++sequence, "abcdefghijklmnopqrst" + sequence);
            }
            Rig.await(TIMEOUT_MS, () -> acknowledged.size() == places.size());
        }
        return List.copyOf(acknowledged);
    }

    /** A new client takes up the saved places, at one gateway after another, and must get what was acknowledged. */
    private boolean takeUp(final Map<String, String> places, final List<String> acknowledged, final Load load)
            throws InterruptedException {
        rig.record("a new client takes up the saved places");
        final long untilMs = rig.nowMs() + TAKE_UP_MS;
        final Subscriber taker = new Subscriber(
                rig, "taker", List.copyOf(places.keySet()), KEY, TIMEOUT_MS, (s, topic, cursor, sender, sequence) -> {
                    if (sender.equals("witness")) {
                        takenUp.add(Long.toString(sequence));
                    }
                });
        taker.cursors.putAll(places);
        taker.start(0);
        reportUntil(untilMs, load);
        taker.ended = true;
        final long missing =
                acknowledged.stream().filter(message -> !takenUp.contains(message)).count();
        rig.record("of " + acknowledged.size() + " messages acknowledged after the saved places, " + missing
                + " did not arrive within " + TAKE_UP_MS + " ms; the last answer to HELLO was "
                + (taker.helloRefused.isEmpty() ? "OK" : "REFUSED " + taker.helloRefused));
        return missing == 0;
    }

    private void startSubscribers() {
        final Random random = new Random(1);
        for (int i = 0; i < SUBSCRIBERS; i++) {
            final List<String> all = new ArrayList<>();
            for (int t = 0; t < TOPICS; t++) {
                all.add(SPACE + ".t" + t);
            }
            Collections.shuffle(all, random);
            final Subscriber subscriber = new Subscriber(
                    rig, "s" + i, List.copyOf(all.subList(0, TOPICS_EACH)), KEY, TIMEOUT_MS, this::delivered);
            subscribers.add(subscriber);
            subscriber.start(i);
        }
    }

    private void delivered(
            final Subscriber subscriber,
            final String topic,
            final String cursor,
            final String sender,
            final long sequence) {
        final long nowMs = rig.nowMs();
        deliveredAt.putIfAbsent(subscriber.name + " " + sender + "/" + sequence, nowMs);
        deliveriesAt.computeIfAbsent(subscriber.name + " " + topic, k -> new ConcurrentLinkedQueue<>()).add(nowMs);
    }

    private void disrupt() throws IOException, InterruptedException {
        rig.record("SIGKILL of all storage processes, for " + DARK_MS + " ms");
        for (final Rig.Node store : rig.stores) {
            store.kill();
        }
        final long restartAt = rig.nowMs() + DARK_MS;
        final int share = (int) (RESET_SHARE * SUBSCRIBERS);
        rig.record("reset of the connections of " + share + " of " + SUBSCRIBERS + " clients");
        for (final Subscriber subscriber : subscribers.subList(0, share)) {
            final LineClient client = subscriber.client;
            if (client != null) {
                client.reset();
            }
        }
        while (rig.nowMs() < restartAt) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        for (final Rig.Node store : rig.stores) {
            store.start();
        }
        rig.record("start of all storage processes");
    }

    private void report(final Load load) {
        final StringBuilder ready = new StringBuilder();
        rig.gateways.forEach(gateway -> ready.append(' ').append(rig.isReady(gateway)));
        rig.record("gateways ready:" + ready + "; clients subscribed: "
                + subscribers.stream().filter(Subscriber::isSubscribed).count() + ", refused at HELLO: "
                + subscribers.stream().filter(s -> !s.helloRefused.isEmpty()).count() + "; publishers: " + load.counts());
    }

    /**
     * Whether each subscriber that stayed on one connection for 4 s after an owed message was acknowledged got it by
     * then or, in the last 2 s, another one of the topic.
     */
    private boolean areOwedDelivered(final Load load, final long fromMs, final long untilMs) {
        int owed = 0;
        int missing = 0;
        for (final Load.Acked message : load.acked) {
            if (message.ackedAtMs() < fromMs || message.ackedAtMs() + STAY_MS > untilMs) {
                continue;
            }
            for (final Subscriber subscriber : subscribers) {
                if (!isOwed(message, subscriber) || stay(message, subscriber) == null) {
                    continue;
                }
                owed++;
                if (!isDeliveredOrExcused(message, subscriber)) {
                    missing++;
                    if (missing <= MAX_RECORDED) {
                        rig.record("LOST: " + message + " did not reach " + subscriber.name + ", first OK at "
                                + subscriber.firstOkAt.get(message.topic()) + ", stay " + stay(message, subscriber));
                    }
                }
            }
        }
        rig.record("of " + owed + " deliveries owed to subscribers that stayed, " + missing + " were not made");
        return missing == 0;
    }

    private static boolean isOwed(final Load.Acked message, final Subscriber subscriber) {
        final Long firstOkAt = subscriber.firstOkAt.get(message.topic());
        return firstOkAt != null && firstOkAt < message.sentAtMs();
    }

    /** The connection that the subscriber kept for long enough after the acknowledgement; null if there is none. */
    private static Subscriber.Stay stay(final Load.Acked message, final Subscriber subscriber) {
        return subscriber.stays.stream()
                .filter(stay -> stay.fromMs() <= message.ackedAtMs()
                        && stay.untilMs() >= message.ackedAtMs() + STAY_MS)
                .findFirst()
                .orElse(null);
    }

    private boolean isDeliveredOrExcused(final Load.Acked message, final Subscriber subscriber) {
        final long dueAt = message.ackedAtMs() + STAY_MS;
        final Long at = deliveredAt.get(subscriber.name + " " + message.sender() + "/" + message.sequence());
        if (at != null && at <= dueAt) {
            return true;
        }
        return deliveriesAt.getOrDefault(subscriber.name + " " + message.topic(), new ConcurrentLinkedQueue<>()).stream()
                .anyMatch(time -> time <= dueAt && time >= dueAt - EXCUSE_MS);
    }
}
