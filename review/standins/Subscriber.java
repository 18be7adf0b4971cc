import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A client with subscriptions, as the page on the protocol describes it: after OK to HELLO it sends every SUBSCRIBE with
 * its last cursor, repeats refused ones within a second, pings, resets a connection on which an answer is overdue, and
 * returns within the rejoin window.
 */
final class Subscriber {
    private static final long PING_INTERVAL_MS = 2_000;
    private static final long REJOIN_WINDOW_MS = 2_000;
    private static final long SILENCE_MS = PING_INTERVAL_MS * 5 / 2;
    private static final long REPEAT_MS = 500;

    /** What the case wants to know of the deliveries. */
    interface Deliveries {
        void delivered(Subscriber subscriber, String topic, String cursor, String sender, long sequence);
    }

    final String name;
    final Map<String, String> cursors = new ConcurrentHashMap<>();
    /** The topics whose subscription has had its first OK. */
    final Map<String, Long> firstOkAt = new ConcurrentHashMap<>();

    /** A connection on which HELLO was answered by OK, with its begin and end in milliseconds of the rig. */
    record Stay(String gateway, long fromMs, long untilMs) {}

    final List<Stay> stays = new CopyOnWriteArrayList<>();
    private final Rig rig;
    private final List<String> topics;
    private final String key;
    private final long answerTimeoutMs;
    private final Deliveries deliveries;
    /** Per topic, when its SUBSCRIBE was sent (positive) or is to be repeated (negative); absent once answered by OK. */
    private final Map<String, Long> waiting = new ConcurrentHashMap<>();

    volatile LineClient client;
    volatile String gateway = "";
    volatile boolean opened;
    volatile boolean ended;
    volatile String helloRefused = "";
    volatile int resets;

    Subscriber(
            final Rig rig,
            final String name,
            final List<String> topics,
            final String key,
            final long answerTimeoutMs,
            final Deliveries deliveries) {
        this.rig = rig;
        this.name = name;
        this.topics = topics;
        this.key = key;
        this.answerTimeoutMs = answerTimeoutMs;
        this.deliveries = deliveries;
    }

    void start(final int firstGateway) {
        final Thread thread = new Thread(null, () -> run(firstGateway), "subscriber-" + name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether every topic has been answered by OK on the present connection. */
    boolean isSubscribed() {
        return opened && waiting.isEmpty();
    }

    private void run(final int firstGateway) {
        int next = firstGateway;
        try {
            while (!ended) {
                connection(next++ % rig.gateways.size());
                TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextLong(REJOIN_WINDOW_MS));
            }
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }

    private void connection(final int number) throws InterruptedException {
        opened = false;
        waiting.clear();
        gateway = rig.gateways.get(number).name;
        try (LineClient connected =
                new LineClient(name, rig.gateways.get(number).ip, Rig.FRONTEND_PORT, this::heard)) {
            client = connected;
            connected.hello(key);
            final long openBy = System.nanoTime() + answerTimeoutMs * 1_000_000;
            while (!opened && !connected.closed && System.nanoTime() < openBy) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            if (!opened) {
                connected.reset();
                return;
            }
            final long openedAtMs = rig.nowMs();
            for (final String topic : topics) {
                subscribe(connected, topic);
            }
            serve(connected);
            stays.add(new Stay(gateway, openedAtMs, rig.nowMs()));
        } catch (final IOException ex) {
            // the next connection follows
        }
    }

    /** Pings, repeats refused requests and watches for overdue answers until the connection ends. */
    private void serve(final LineClient connected) throws InterruptedException {
        try {
            while (!ended && !connected.closed) {
                TimeUnit.MILLISECONDS.sleep(50);
                connected.pingIfDue(PING_INTERVAL_MS);
                repeatRefused(connected);
                final boolean silent = System.nanoTime() - connected.heardAt > SILENCE_MS * 1_000_000;
                if (silent || answerOverdue()) {
                    resets++;
                    connected.reset();
                }
            }
        } catch (final IOException ex) {
            connected.close();
        }
    }

    private void subscribe(final LineClient connected, final String topic) throws IOException {
        waiting.put(topic, System.nanoTime());
        connected.subscribe(topic, cursors.get(topic));
    }

    private void repeatRefused(final LineClient connected) throws IOException {
        for (final Map.Entry<String, Long> entry : waiting.entrySet()) {
            if (entry.getValue() < 0 && System.nanoTime() > -entry.getValue()) {
                subscribe(connected, entry.getKey());
            }
        }
    }

    private boolean answerOverdue() {
        final long sentBefore = System.nanoTime() - answerTimeoutMs * 1_000_000;
        return waiting.values().stream().anyMatch(sentAt -> sentAt > 0 && sentAt < sentBefore);
    }

    private void heard(final LineClient from, final String[] words, final String body) {
        if (from != client) {
            return;
        }
        switch (words[0]) {
            case "OK" -> ok(words);
            case "MESSAGE" -> {
                cursors.put(words[1], words[2]);
                deliveries.delivered(this, words[1], words[2], words[3], Long.parseLong(words[4]));
            }
            case "REFUSED" -> refused(from, words);
            case "MOVE" -> from.close();
            default -> { }
        }
    }

    private void ok(final String[] words) {
        if (words[1].equals("HELLO")) {
            helloRefused = "";
            opened = true;
        } else if (words[1].equals("SUBSCRIBE")) {
            cursors.putIfAbsent(words[2], words[3]);
            firstOkAt.putIfAbsent(words[2], rig.nowMs());
            waiting.remove(words[2]);
        }
    }

    private void refused(final LineClient from, final String[] words) {
        if (words[1].equals("HELLO")) {
            helloRefused = words[words.length - 1];
            from.close();
        } else if (words[1].equals("SUBSCRIBE")) {
            waiting.put(words[2], -(System.nanoTime() + REPEAT_MS * 1_000_000));
        }
    }
}
