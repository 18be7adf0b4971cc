package brookpath.testing.fleet;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.testing.oracle.History;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;

/** Where usage reports go. Its own clock is the fleet's, for all processes run on this machine. */
final class UsagePlatform implements AutoCloseable {
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final long SLOW_RESPONSE_MS = 1_000;

    private final HttpServer server;
    private volatile CallerLoad load;
    /** The wall clock when the callers' own began. */
    private volatile long bornAt;

    private volatile long failingUntil;
    private volatile int reports;

    UsagePlatform() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(Fleet.HOST), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            final Thread thread = new Thread(task, "platform");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/usage", this::handle);
        server.start();
    }

    /** Reports are handed to this run's oracle from now on. */
    void verifyAgainst(final CallerLoad callers) {
        bornAt = System.currentTimeMillis() - callers.clock();
        load = callers;
    }

    /** It is slow and reports errors for a while. */
    void failFor(final long nanos) {
        failingUntil = System.nanoTime() + nanos;
    }

    int reports() {
        return reports;
    }

    String url() {
        return "http://" + Fleet.HOST + ":" + server.getAddress().getPort() + "/usage";
    }

    private void handle(final HttpExchange exchange) throws IOException {
        final String body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
        final boolean failing = System.nanoTime() < failingUntil;
        if (failing) {
            respondSlowly();
        }
        // while it fails it takes every other report and says of all that it did not, so the same must come again
        final boolean takes = !failing || body.hashCode() % 2 == 0;
        if (takes && load != null) {
            take(body);
        }
        exchange.sendResponseHeaders(failing ? SERVER_ERROR : OK, -1);
        exchange.close();
    }

    private static void respondSlowly() {
        try {
            Thread.sleep(SLOW_RESPONSE_MS);
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }

    private void take(final String body) {
        final JsonObject report = JsonText.parse(body);
        final long windowEnd = report.getJsonNumber("windowEndMs").longValue() - bornAt;
        final History history = load.history();
        synchronized (history) {
            reports++;
            for (final JsonObject tenant : report.getJsonArray("tenants").getValuesAs(JsonObject.class)) {
                history.usage.reported(
                        load.clock(),
                        tenant.getString("tenant"),
                        windowEnd,
                        tenant.getJsonNumber("publishes").longValue(),
                        tenant.getJsonNumber("bytes").longValue(),
                        tenant.getBoolean("late"));
            }
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
