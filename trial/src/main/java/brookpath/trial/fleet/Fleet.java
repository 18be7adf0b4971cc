package brookpath.trial.fleet;

import static java.util.concurrent.TimeUnit.SECONDS;

import brookpath.trial.relay.Relay;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** A whole fleet as processes on loopback, each with its settings file and data folder. Stops only what it started. */
@SuppressWarnings("try") // why: whoever interrupts the end of a fleet is told so
public final class Fleet implements AutoCloseable {
    public static final String HOST = "127.0.0.1";
    private static final String[] ZONES = {"a", "b", "c", "d"};

    /**
     * The zone that a node of this fleet lies in, by its number alone; "" for callers, who are wherever the front is.
     */
    public static String zoneOf(final int node) {
        return node <= 0 ? "" : ZONES[(node - (node >= 31 ? 31 : node >= 11 ? 11 : 1)) % 4];
    }

    /** One machine's program. */
    public final class Unit {
        public final int node;
        public final String zone;
        public final boolean bailiff;
        public final int httpPort;
        private final int siblingPort;
        private final int callersPort;
        private final Path settings;
        private Process process;

        Unit(final int node, final String zone, final String role, final int siblingPort, final int httpPort)
                throws IOException, InterruptedException {
            this.node = node;
            this.zone = zone;
            this.httpPort = httpPort;
            this.siblingPort = siblingPort;
            bailiff = role.equals("bailiff");
            callersPort = relay == null || !role.equals("front") ? httpPort : relay.open(node, httpPort, false);
            settings = folder.resolve(role + "-" + node + ".json");
            final StringBuilder sb = new StringBuilder("{\"node\":" + node + ",\"zone\":\"" + zone + "\"");
            if (!bailiff) {
                sb.append(",\"role\":\"").append(role).append('"');
            }
            if (siblingPort > 0) {
                sb.append(",\"siblings\":\"")
                        .append(HOST)
                        .append(':')
                        .append(siblingPort)
                        .append("\",\"data\":\"")
                        .append(folder.resolve("data-" + node))
                        .append('"');
                if (relay != null && !bailiff) {
                    sb.append(",\"reachedAs\":\"")
                            .append(HOST)
                            .append(':')
                            .append(relay.open(node, siblingPort, true))
                            .append('"');
                }
            }
            sb.append(",\"http\":\"").append(HOST).append(':').append(httpPort).append("\",\"seeds\":[");
            for (int i = 1; i <= 3; i++) {
                sb.append(i == 1 ? "" : ",")
                        .append('"')
                        .append(i)
                        .append('@')
                        .append(HOST)
                        .append(':')
                        .append(seedsReachedAs[i])
                        .append('"');
            }
            sb.append(']');
            if (bailiff) {
                sb.append(",\"founding\":{\"groups\":16,\"copies\":3,\"storages\":4}")
                        .append(platform.isEmpty() ? "" : ",\"platform\":\"" + platform + "\"");
            }
            Files.writeString(settings, sb.append("}\n"));
        }

        public void start(final boolean found) throws IOException {
            final List<String> cmd = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx160m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Dslf4j.internal.verbosity=WARN",
                    "--add-opens",
                    "java.base/jdk.internal.misc=ALL-UNNAMED",
                    "-cp",
                    System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                    bailiff ? "brookpath.programs.Bailiff" : "brookpath.programs.Creel",
                    "--settings",
                    settings.toString()));
            if (found) {
                cmd.add("--found");
            }
            final File out = folder.resolve("out-" + node + ".txt").toFile();
            process = new ProcessBuilder(cmd)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(out))
                    .start();
        }

        public boolean alive() {
            return process != null && process.isAlive();
        }

        /** SIGKILL. */
        public void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
        }

        /** SIGTERM, and SIGKILL where that is not obeyed. */
        public void stop() throws InterruptedException {
            process.destroy();
            if (!process.waitFor(5, SECONDS)) {
                kill();
            }
        }

        public void signal(final String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        public Path settings() {
            return settings;
        }

        public int siblingPort() {
            return siblingPort;
        }

        /** As callers reach it, through the relay where there is one. */
        public String callersUrl(final String path) {
            return "http://" + HOST + ":" + callersPort + path;
        }

        public String url(final String path) {
            return "http://" + HOST + ":" + httpPort + path;
        }
    }

    private final Path folder;
    private final int base;
    private final int[] seedPorts = new int[4];
    private final int[] seedsReachedAs = new int[4];
    private final Relay relay;
    private final String platform;
    private final Set<Integer> taken = new HashSet<>();
    private final Map<Integer, Unit> units = new LinkedHashMap<>();
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

    /**
     * @param base HTTP ports begin here, siblings' a thousand below; 0 takes any that are free
     * @param relay null for none between the processes
     */
    public Fleet(final Path folder, final int base, final int fronts, final Relay relay, final String platform)
            throws IOException, InterruptedException {
        this.relay = relay;
        this.platform = platform;
        this.folder = Files.createDirectories(folder).toAbsolutePath();
        this.base = base;
        for (int i = 1; i <= 3; i++) {
            seedPorts[i] = port(base - 1000 + i);
            seedsReachedAs[i] = relay == null ? seedPorts[i] : relay.open(i, seedPorts[i], true);
        }
        for (int i = 1; i <= 3; i++) {
            units.put(i, new Unit(i, ZONES[i - 1], "bailiff", seedPorts[i], port(base + i)));
        }
        for (int i = 0; i < 4; i++) {
            units.put(11 + i, new Unit(11 + i, ZONES[i], "storage", port(base - 1000 + 11 + i), port(base + 11 + i)));
        }
        for (int i = 0; i < fronts; i++) {
            units.put(31 + i, new Unit(31 + i, ZONES[i % 4], "front", 0, port(base + 31 + i)));
        }
    }

    private int port(final int wanted) throws IOException {
        if (base > 0) {
            return wanted;
        }
        // why: from below the range that the kernel takes for outgoing sessions, so that none of those can sit on it
        // meanwhile
        while (true) {
            final int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                if (taken.add(probe.getLocalPort())) {
                    return port;
                }
            } catch (final BindException ex) {
                // why: taken by somebody else; another one is drawn
            }
        }
    }

    public Map<Integer, Unit> units() {
        return units;
    }

    public List<Unit> fronts() {
        return units.values().stream().filter(u -> u.node >= 31).toList();
    }

    public List<Unit> storages() {
        return units.values().stream().filter(u -> u.node >= 11 && u.node < 31).toList();
    }

    public void start() throws IOException {
        // why: a data folder that is there already belongs to a control group that was founded
        for (final Unit u : units.values()) {
            u.start(u.bailiff && !Files.exists(folder.resolve("data-" + u.node)));
        }
    }

    /** GET as text, or empty where the process does not respond with success. */
    public String get(final Unit u, final String path) throws InterruptedException {
        try {
            final HttpResponse<String> r = http.send(
                    HttpRequest.newBuilder(URI.create(u.url(path)))
                            .timeout(Duration.ofSeconds(1))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return r.statusCode() == 200 ? r.body() : "";
        } catch (final IOException ex) {
            return "";
        }
    }

    public HttpResponse<String> post(final Unit u, final String path, final String body)
            throws IOException, InterruptedException {
        return http.send(
                HttpRequest.newBuilder(URI.create(u.url(path)))
                        .timeout(Duration.ofSeconds(10))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Until every front is ready and sees a master for every founded group. */
    public boolean awaitReady(final long millis) throws InterruptedException {
        final long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            boolean ready = true;
            for (final Unit u : fronts()) {
                final String status = get(u, "/v1/status");
                ready &= !get(u, "/v1/ready").isEmpty()
                        && status.contains("\"group\":15")
                        && !status.contains("\"founded\":false")
                        && !status.contains("\"master\":0");
            }
            if (ready) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    @Override
    public void close() throws InterruptedException {
        for (final Unit u : units.values()) {
            if (u.alive()) {
                u.process.destroy();
            }
        }
        for (final Unit u : units.values()) {
            if (u.process != null && !u.process.waitFor(5, SECONDS)) {
                u.kill();
            }
        }
    }
}
