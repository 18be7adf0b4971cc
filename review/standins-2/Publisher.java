import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Publishes to one topic, one message at a time, as the users' pages tell a client: after a cut, silence or UNCERTAIN
 * the same number again until the message's deadline, after BUSY a new number.
 */
final class Publisher {
    /** An accepted message. */
    record Accepted(String topic, long sequence, long acceptedAt) {}

    private static final int TIMEOUT_MS = 1_500;
    private static final int DEADLINE_MS = 2_000;

    private final List<String> gateways;
    private final String key;
    final String name;
    private final String topic;
    private final int bodyBytes;
    private final LinkedBlockingQueue<String[]> answers = new LinkedBlockingQueue<>();
    final List<Accepted> accepted = new java.util.concurrent.CopyOnWriteArrayList<>();
    volatile int offered;
    volatile int served;
    private int gateway;
    private Client client;
    private long sequence;

    Publisher(final List<String> gateways, final String key, final String name, final String topic, final int bodyBytes) {
        this.gateways = gateways;
        this.key = key;
        this.name = name;
        this.topic = topic;
        this.bodyBytes = bodyBytes;
        gateway = Math.abs(name.hashCode()) % gateways.size();
    }

    /** The body of a message: its sender and number, then filler. */
    static String body(final String name, final long sequence, final int bytes) {
        final StringBuilder text = new StringBuilder(name + "/" + sequence + "/");
        while (text.length() < bytes) {
            text.append((char) ('a' + (text.length() * 7 + sequence) % 26));
        }
        return text.substring(0, bytes);
    }

    private boolean connect() {
        try {
            answers.clear();
            final Client[] self = new Client[1];
            client = new Client(gateways.get(gateway), (words, body) -> answers.add(words));
            client.send("HELLO " + name + " " + key);
            final String[] answer = answers.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (answer != null && answer[0].equals("OK")) {
                return true;
            }
        } catch (final Exception ex) {
            // tried again with another gateway
        }
        drop();
        return false;
    }

    private void drop() {
        try {
            if (client != null) {
                client.reset();
            }
        } catch (final Exception ex) {
            // already closed
        }
        client = null;
        gateway = (gateway + 1) % gateways.size();
    }

    /** Publishes one message; true where it was accepted before its deadline. */
    boolean publish() throws InterruptedException {
        sequence++;
        offered++;
        final long deadline = System.currentTimeMillis() + DEADLINE_MS;
        while (System.currentTimeMillis() < deadline) {
            if ((client == null || client.closed) && !connect()) {
                Thread.sleep(100);
                continue;
            }
            try {
                client.publish(topic, sequence, body(name, sequence, bodyBytes));
                final String[] answer = answerTo(sequence);
                if (answer == null) {
                    drop();
                } else if (answer[0].equals("ACCEPTED")) {
                    served++;
                    accepted.add(new Accepted(topic, sequence, System.currentTimeMillis()));
                    return true;
                } else if (answer[answer.length - 1].equals("BUSY")) {
                    sequence++;
                    Thread.sleep(100);
                } else {
                    Thread.sleep(100);
                }
            } catch (final java.io.IOException ex) {
                drop();
            }
        }
        return false;
    }

    private String[] answerTo(final long number) throws InterruptedException {
        final long end = System.currentTimeMillis() + TIMEOUT_MS;
        while (true) {
            final String[] answer = answers.poll(Math.max(1, Math.min(100, end - System.currentTimeMillis())), TimeUnit.MILLISECONDS);
            if (answer == null) {
                if (System.currentTimeMillis() >= end || client.closed) {
                    return null;
                }
                continue;
            }
            final boolean accepted = answer[0].equals("ACCEPTED") && answer[2].equals(Long.toString(number));
            final boolean refused = answer[0].equals("REFUSED") && answer[1].equals("PUBLISH") && answer[3].equals(Long.toString(number));
            if (accepted || refused) {
                return answer;
            }
        }
    }

    void close() {
        drop();
    }
}
