import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A tenant's key is withdrawn, and its clients return again and again until they have another one; a subscriber of
 * another tenant stays on the same gateway. Argument: the record file.
 */
public final class RevokedCase {
    private static final String KEY = "wrr6x73d3zji9n73hh2b";
    private static final String OTHER_KEY = "9wu3fexd9dnn2ctnfzs9";
    private static final String SPACE = "gowu980.";
    private static final int CLIENTS = 3_450;
    private static final int WORKERS = 230;
    /** How often a refused client returns: within RejoinWindowS, which is 2 s. */
    private static final int RETURN_MS = 1_500;
    private static final int LENGTH_MS = 105_000;
    /** The gateway is watched for this long after the rule was broken. */
    private static final int AFTER_MS = 10_000;
    private static final int CALM_MS = 4_000;
    private static final int OLDER_MS = 2_000;
    private static final int SILENCE_MS = 5_000;
    private static final long START = System.currentTimeMillis();
    private static PrintWriter record;

    private final Cluster cluster = new Cluster(2);
    private final AtomicInteger greeted = new AtomicInteger();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private volatile boolean revoked;
    private volatile boolean stopped;

    private RevokedCase() throws IOException {}

    static synchronized void log(final String text) {
        final String line = String.format("%7.2f s  %s", (System.currentTimeMillis() - START) / 1000.0, text);
        record.println(line);
        record.flush();
        System.out.println(line);
    }

    public static void main(final String[] args) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])));
        int exit = 2;
        final RevokedCase test = new RevokedCase();
        try {
            exit = test.run(!"0".equals(System.getenv("TROUBLE")));
        } catch (final Exception ex) {
            log("cannot run: " + ex);
        }
        log("exit " + exit);
        test.cluster.close();
        Runtime.getRuntime().halt(exit);
    }

    /** Some of the tenant's clients: they stay connected, and return with their key once they are refused. */
    private void clients(final int first, final int count, final CountDownLatch ready) throws Exception {
        final Socket[] sockets = new Socket[count];
        final Random random = new Random(first);
        boolean counted = false;
        while (!stopped) {
            final long round = System.currentTimeMillis();
            for (int i = 0; i < count && !stopped; i++) {
                try {
                    if (sockets[i] != null && !revoked) {
                        ping(sockets[i]);
                    } else {
                        sockets[i] = connect(sockets[i], "u" + (first + i));
                    }
                } catch (final IOException ex) {
                    unanswered.incrementAndGet();
                    close(sockets[i]);
                    sockets[i] = null;
                }
                Thread.sleep(random.nextInt(RETURN_MS / count));
            }
            if (!counted) {
                counted = true;
                ready.countDown();
            }
            Thread.sleep(Math.max(0, round + RETURN_MS - System.currentTimeMillis()));
        }
    }

    private static void ping(final Socket socket) throws IOException {
        socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
        final InputStream in = socket.getInputStream();
        in.skip(in.available());
    }

    /** Connects and says HELLO; null where that is refused. */
    private Socket connect(final Socket before, final String name) throws IOException {
        close(before);
        final Socket socket = Cluster.connect(cluster.gateways.get(0).clients());
        socket.setSoTimeout(1_500);
        socket.getOutputStream().write(("HELLO " + name + " " + KEY + "\r\n").getBytes(StandardCharsets.US_ASCII));
        final byte[] answer = new byte[256];
        final int length = socket.getInputStream().read(answer);
        if (length > 0 && new String(answer, 0, length, StandardCharsets.US_ASCII).startsWith("OK")) {
            greeted.incrementAndGet();
            return socket;
        }
        if (length > 0) {
            refused.incrementAndGet();
        } else {
            unanswered.incrementAndGet();
        }
        close(socket);
        return null;
    }

    private static void close(final Socket socket) throws IOException {
        if (socket != null) {
            socket.close();
        }
    }

    private static String tenant(final String name, final String key) {
        return "{\"Name\":\"" + name + "\",\"AccessKeys\":[\"" + key + "\"],\"Priority\":1}";
    }

    private int run(final boolean trouble) throws Exception {
        cluster.start();
        final String route = "{\"Name\":\"r-qdqiqrh\",\"Hostname\":\"\",\"PathPrefix\":\"" + SPACE
                + "\",\"RouteKind\":\"retained\",\"TimeoutMs\":1500,\"TargetLatencyMs\":120,\"Priority\":1,"
                + "\"RetentionS\":35.0,\"OrderedDelivery\":\"sender\",\"Public\":false}";
        if (!cluster.configure(route, tenant("nofi360", KEY) + "," + tenant("fino331", OTHER_KEY), 15_000)) {
            log("no configuration was acknowledged");
            return 2;
        }
        Thread.sleep(3_000);
        final CountDownLatch ready = new CountDownLatch(WORKERS);
        for (int i = 0; i < WORKERS; i++) {
            final int first = i * (CLIENTS / WORKERS);
            Cluster.daemon(() -> clients(first, CLIENTS / WORKERS, ready));
        }
        ready.await();
        log("clients of the first tenant that are connected: " + greeted);
        final Reader reader = new Reader();
        reader.connect();
        final Publisher publisher =
                new Publisher(List.of(cluster.gateways.get(1).clients()), OTHER_KEY, "writer", SPACE + "0", 100);
        Cluster.daemon(() -> {
            while (!stopped) {
                publisher.publish();
                Thread.sleep(500);
            }
        });
        Thread.sleep(3_000);
        if (trouble) {
            final boolean taken = cluster.configure(
                    route, tenant("nofi360", "5fzs9wrr6x73d3zji9n7") + "," + tenant("fino331", OTHER_KEY), 15_000);
            log("a configuration without the first tenant's key is acknowledged: " + taken);
            revoked = true;
        }
        final Cluster.Node gateway = cluster.gateways.get(0);
        boolean ended = false;
        int broken = 0;
        long brokenAt = Long.MAX_VALUE / 2;
        while (!ended
                && System.currentTimeMillis() < Math.min(START + LENGTH_MS, brokenAt + AFTER_MS)) {
            Thread.sleep(1_000);
            reader.resetIfSilent();
            ended = !gateway.runs();
            broken = reader.late(publisher.accepted);
            brokenAt = broken > 0 ? Math.min(brokenAt, System.currentTimeMillis()) : brokenAt;
            log("HELLO refused " + refused + ", unanswered " + unanswered + "; gateway "
                    + (ended ? "has ended by itself with status " + gateway.process.exitValue()
                            : gateway.memoryKb() / 1024 + " MB")
                    + "; the subscriber's messages: accepted " + publisher.served + ", delivered " + reader.got.size()
                    + ", still owed after " + CALM_MS + " ms on one connection " + broken);
        }
        stopped = true;
        if (broken > 0) {
            log("LOST is broken");
        }
        return broken > 0 ? 1 : 0;
    }

    /** The subscriber of the other tenant. */
    private final class Reader {
        final Map<Long, Long> got = new ConcurrentHashMap<>();
        final List<long[]> connections = new ArrayList<>();
        private final List<Long> late = new ArrayList<>();
        private Client client;
        private volatile long joinedAt;
        private volatile long lastByteAt = System.currentTimeMillis();
        private volatile String cursor = "";

        void connect() {
            joinedAt = Long.MAX_VALUE;
            lastByteAt = System.currentTimeMillis();
            try {
                client = new Client(cluster.gateways.get(0).clients(), this::received);
                client.send("HELLO reader " + OTHER_KEY);
            } catch (final IOException ex) {
                client = null;
            }
        }

        private void received(final String[] words, final byte[] body) {
            lastByteAt = System.currentTimeMillis();
            if (words[0].equals("OK") && words[1].equals("HELLO")) {
                try {
                    client.send("SUBSCRIBE " + SPACE + "0" + (cursor.isEmpty() ? "" : " " + cursor));
                } catch (final IOException ex) {
                    return;
                }
            } else if (words[0].equals("OK") && words[1].equals("SUBSCRIBE")) {
                joinedAt = System.currentTimeMillis();
                cursor = words[3];
            } else if (words[0].equals("MESSAGE")) {
                got.putIfAbsent(Long.parseLong(words[4]), System.currentTimeMillis());
                cursor = words[2];
            }
        }

        /** As the pages say, a client resets its connection when no byte has come for 2.5 times PingIntervalS. */
        void resetIfSilent() throws IOException {
            final boolean silent = System.currentTimeMillis() - lastByteAt > SILENCE_MS;
            if (client == null || client.closed || silent) {
                if (client != null) {
                    client.reset();
                }
                connect();
            }
        }

        /**
         * How many messages, accepted while the subscriber was on its present connection, have not come for the time of
         * the rule, although no older one came in the last part of it.
         */
        int late(final List<Publisher.Accepted> accepted) {
            final long now = System.currentTimeMillis();
            final boolean connected = client != null && !client.closed;
            final long newest = got.values().stream().mapToLong(at -> at).max().orElse(0);
            for (final Publisher.Accepted message : accepted) {
                if (connected
                        && message.acceptedAt() > joinedAt
                        && now - message.acceptedAt() > CALM_MS
                        && now - newest > OLDER_MS
                        && !got.containsKey(message.sequence())
                        && !late.contains(message.sequence())) {
                    late.add(message.sequence());
                    log("message " + message.sequence() + " was accepted " + (now - message.acceptedAt())
                            + " ms ago and has not come; the last message came " + (now - newest) + " ms ago");
                }
            }
            return late.size();
        }
    }
}
