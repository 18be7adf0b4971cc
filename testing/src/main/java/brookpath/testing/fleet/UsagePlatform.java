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

/** An HTTP server that receives the usage reports. It shares a clock with the fleet, which runs on the same machine. */
final class UsagePlatform implements AutoCloseable {
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final long SLOW_RESPONSE_MS = 1_000;

    private final HttpServer server;
    private volatile CallerLoad load;
    /** The wall-clock time at which the clock of the load started. */
    private volatile long loadStartedAtMs;

    private volatile long failingUntilNanos;
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

    /** Forwards reports to the oracle of this load from now on. */
    void forwardTo(final CallerLoad callers) {
        loadStartedAtMs = System.currentTimeMillis() - callers.clock();
        load = callers;
    }

    /** Responds slowly and with errors for a while. */
    void failFor(final long nanos) {
        failingUntilNanos = System.nanoTime() + nanos;
    }

    int reports() {
        return reports;
    }

    String url() {
        return "http://" + Fleet.HOST + ":" + server.getAddress().getPort() + "/usage";
    }

    private void handle(final HttpExchange exchange) throws IOException {
        final String body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
        final boolean failing = System.nanoTime() < failingUntilNanos;
        if (failing) {
            respondSlowly();
        }
        // while failing, it accepts every other report but answers all with an error, so that accepted ones are
        // repeated
        final boolean accepts = !failing || body.hashCode() % 2 == 0;
        if (accepts && load != null) {
            forward(body);
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

    private void forward(final String body) {
        final JsonObject report = JsonText.parse(body);
        final long windowEnd = report.getJsonNumber("windowEndMs").longValue() - loadStartedAtMs;
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
