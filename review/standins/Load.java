import java.io.IOException;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Publishers that send messages of one size at a steady rate, one PUBLISH at a time each, as clients do. */
final class Load implements AutoCloseable {
    /** An acknowledged message, with the times in milliseconds of the rig at which it was first sent and acknowledged. */
    record Acked(String topic, String sender, long sequence, long sentAtMs, long ackedAtMs) {}

    final Queue<Acked> acked = new ConcurrentLinkedQueue<>();
    private final Rig rig;
    private final String space;
    private final String key;
    private final int topics;
    private final int bodyBytes;
    private final double perSecond;
    private volatile boolean ended;
    final AtomicLong sent = new AtomicLong();
    final AtomicLong accepted = new AtomicLong();
    final AtomicLong busy = new AtomicLong();
    final AtomicLong uncertain = new AtomicLong();

    Load(final Rig rig, final String space, final String key, final int topics, final int bodyBytes, final double rate) {
        this.rig = rig;
        this.space = space;
        this.key = key;
        this.topics = topics;
        this.bodyBytes = bodyBytes;
        perSecond = rate;
    }

    void start(final int publishers) {
        for (int i = 0; i < publishers; i++) {
            final int number = i;
            final Thread thread = new Thread(() -> publisher(number, publishers), "publisher-" + i);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void publisher(final int number, final int publishers) {
        long sequence = 0;
        int gateway = number;
        while (!ended) {
            final Map<Long, String> answers = new ConcurrentHashMap<>();
            final boolean[] open = new boolean[1];
            try (LineClient client = new LineClient(
                    "p" + number, rig.gateways.get(gateway++ % rig.gateways.size()).ip, Rig.FRONTEND_PORT, (c, words, body) -> {
                        if (words[0].equals("OK")) {
                            open[0] = true;
                        } else if (words[0].equals("ACCEPTED")) {
                            answers.put(Long.parseLong(words[2]), "ACCEPTED");
                        } else if (words[0].equals("REFUSED") && words[1].equals("PUBLISH")) {
                            answers.put(Long.parseLong(words[3]), words[4]);
                        } else if (words[0].equals("MOVE") || words[0].equals("REFUSED")) {
                            c.close();
                        }
                    })) {
                client.hello(key);
                Rig.await(2_000, () -> open[0] || client.closed);
                while (!ended && !client.closed && open[0]) {
                    sequence++;
                    final long pauseMs = (long) (1_000.0 * publishers / perSecond);
                    final long startedAt = System.nanoTime();
                    if (!publish(client, sequence, answers)) {
                        break;
                    }
                    final long spentMs = (System.nanoTime() - startedAt) / 1_000_000;
                    TimeUnit.MILLISECONDS.sleep(Math.max(0, pauseMs - spentMs));
                }
                TimeUnit.MILLISECONDS.sleep(300);
            } catch (final IOException ex) {
                pause();
            } catch (final InterruptedException ex) {
                return;
            }
        }
    }

    private boolean publish(final LineClient client, final long sequence, final Map<Long, String> answers)
            throws IOException, InterruptedException {
        final StringBuilder body = new StringBuilder();
        while (body.length() < bodyBytes) {
            body.append(Long.toString(ThreadLocalRandom.current().nextLong(Long.MAX_VALUE), 36));
        }
        body.setLength(bodyBytes);
        final String topic = space + ".t" + ThreadLocalRandom.current().nextInt(topics);
        sent.incrementAndGet();
        final long sentAtMs = rig.nowMs();
        client.publish(topic, sequence, body.toString());
        Rig.await(1_500, () -> answers.containsKey(sequence) || client.closed);
        final String answer = answers.getOrDefault(sequence, "");
        if (answer.equals("ACCEPTED")) {
            accepted.incrementAndGet();
            acked.add(new Acked(topic, client.name, sequence, sentAtMs, rig.nowMs()));
        } else if (answer.equals("BUSY")) {
            busy.incrementAndGet();
        } else {
            uncertain.incrementAndGet();
        }
        return !answer.isEmpty();
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(500);
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }

    String counts() {
        return sent + " sent, " + accepted + " accepted, " + busy + " busy, " + uncertain + " uncertain";
    }

    @Override
    public void close() {
        ended = true;
    }
}
