package brookpath.testing.fleet;

import static java.util.concurrent.TimeUnit.SECONDS;

import brookpath.testing.relay.Relay;
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
@SuppressWarnings("try") // whoever interrupts the end of a fleet is told so
public final class Fleet implements AutoCloseable {
    /** Where all processes listen. */
    public static final String HOST = "127.0.0.1";

    private static final String GATEWAY = "gateway";
    private static final String STORAGE = "storage";
    private static final String CONTROLLER = "controller";

    private static final String[] ZONES = {"a", "b", "c", "d"};
    /** The controllers, storage machines and gateways are numbered from here on. */
    private static final int FIRST_CONTROLLER = 1;

    private static final int FIRST_STORAGE = 11;
    private static final int FIRST_GATEWAY = 31;
    private static final int SEEDS = 3;
    private static final int STORAGES = 4;
    private static final int NO_PORT = 0;

    /** Ports for other nodes lie so far below those for HTTP. */
    private static final int PEER_PORT_OFFSET = 1_000;

    /**
     * The zone that a node of this fleet lies in, by its number alone; "" for callers, who are wherever the gateway is.
     */
    public static String zoneOf(final int node) {
        if (node <= 0) {
            return "";
        }
        return ZONES[(node - firstOfKind(node)) % ZONES.length];
    }

    private static int firstOfKind(final int node) {
        if (node >= FIRST_GATEWAY) {
            return FIRST_GATEWAY;
        }
        return node >= FIRST_STORAGE ? FIRST_STORAGE : FIRST_CONTROLLER;
    }

    /** One machine's program. */
    public final class Unit {
        public final int node;
        public final String zone;
        public final boolean controller;
        public final int httpPort;
        private final int peerPort;
        private final int callersPort;
        private final Path settings;
        private Process process;

        Unit(final int node, final String zone, final String role, final int peerPort, final int httpPort)
                throws IOException, InterruptedException {
            this.node = node;
            this.zone = zone;
            this.httpPort = httpPort;
            this.peerPort = peerPort;
            controller = role.equals(CONTROLLER);
            callersPort = relay == null || !role.equals(GATEWAY) ? httpPort : relay.open(node, httpPort, false);
            settings = folder.resolve(role + "-" + node + ".json");
            Files.writeString(settings, settingsJson(role));
        }

        private String settingsJson(final String role) throws InterruptedException {
            final StringBuilder json = new StringBuilder("{\"node\":" + node + ",\"zone\":\"" + zone + "\"");
            if (!controller) {
                json.append(",\"role\":").append(quoted(role));
            }
            if (peerPort > 0) {
                json.append(",\"peers\":").append(quoted(HOST + ":" + peerPort));
                json.append(",\"data\":").append(quoted(folder.resolve("data-" + node)));
                if (relay != null && !controller) {
                    final int relayPort = relay.open(node, peerPort, true);
                    json.append(",\"reachedAs\":").append(quoted(HOST + ":" + relayPort));
                }
            }
            json.append(",\"http\":").append(quoted(HOST + ":" + httpPort));
            json.append(",\"seeds\":[").append(seeds()).append(']');
            if (controller) {
                json.append(",\"founding\":{\"groups\":16,\"copies\":3,\"storages\":4}");
                json.append(platform.isEmpty() ? "" : ",\"platform\":" + quoted(platform));
            }
            return json.append("}\n").toString();
        }

        private static String quoted(final Object value) {
            return "\"" + value + "\"";
        }

        private String seeds() {
            final List<String> seeds = new ArrayList<>();
            for (int seed = 1; seed <= SEEDS; seed++) {
                seeds.add(quoted(seed + "@" + HOST + ":" + seedsReachedAs[seed]));
            }
            return String.join(",", seeds);
        }

        /**
         * Starts the process.
         *
         * @param found whether it founds the control group
         */
        public void start(final boolean found) throws IOException {
            final List<String> cmd = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx160m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Dslf4j.internal.verbosity=WARN",
                    "-cp",
                    System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                    controller ? "brookpath.programs.Controller" : "brookpath.programs.DataNode",
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

        /** Whether the process runs. */
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

        /** Sends a signal by its name, such as STOP. */
        public void signal(final String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        /** The settings file. */
        public Path settings() {
            return settings;
        }

        /** The port for other nodes. */
        public int peerPort() {
            return peerPort;
        }

        /** As callers reach it, through the relay where there is one. */
        public String callersUrl(final String path) {
            return "http://" + HOST + ":" + callersPort + path;
        }

        /** As operators reach it. */
        public String url(final String path) {
            return "http://" + HOST + ":" + httpPort + path;
        }
    }

    private final Path folder;
    private final int base;
    private final int[] seedPorts = new int[SEEDS + 1];
    private final int[] seedsReachedAs = new int[SEEDS + 1];
    private final Relay relay;
    private final String platform;
    private final Set<Integer> taken = new HashSet<>();
    private final Map<Integer, Unit> units = new LinkedHashMap<>();
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

    /**
     * @param base HTTP ports begin here, other nodes' a thousand below; 0 takes any that are free
     * @param relay null for none between the processes
     */
    public Fleet(final Path folder, final int base, final int gateways, final Relay relay, final String platform)
            throws IOException, InterruptedException {
        this.relay = relay;
        this.platform = platform;
        this.folder = Files.createDirectories(folder).toAbsolutePath();
        this.base = base;
        for (int i = 1; i <= SEEDS; i++) {
            seedPorts[i] = portForPeers(i);
            seedsReachedAs[i] = relay == null ? seedPorts[i] : relay.open(i, seedPorts[i], true);
        }
        for (int node = FIRST_CONTROLLER; node <= SEEDS; node++) {
            units.put(node, new Unit(node, zoneOf(node), CONTROLLER, seedPorts[node], port(base + node)));
        }
        for (int node = FIRST_STORAGE; node < FIRST_STORAGE + STORAGES; node++) {
            units.put(node, new Unit(node, zoneOf(node), STORAGE, portForPeers(node), port(base + node)));
        }
        for (int node = FIRST_GATEWAY; node < FIRST_GATEWAY + gateways; node++) {
            units.put(node, new Unit(node, zoneOf(node), GATEWAY, NO_PORT, port(base + node)));
        }
    }

    private int portForPeers(final int node) throws IOException {
        return port(base - PEER_PORT_OFFSET + node);
    }

    private int port(final int wanted) throws IOException {
        if (base > 0) {
            return wanted;
        }
        // from below the range that the kernel takes for outgoing sessions, so that none of those can sit on it
        // meanwhile
        while (true) {
            final int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                if (taken.add(probe.getLocalPort())) {
                    return port;
                }
            } catch (final BindException ex) {
                // taken by somebody else; another one is drawn
            }
        }
    }

    /** All machines by their numbers. */
    public Map<Integer, Unit> units() {
        return units;
    }

    /** The gateways. */
    public List<Unit> gateways() {
        return units.values().stream().filter(u -> u.node >= FIRST_GATEWAY).toList();
    }

    /** The storage machines. */
    public List<Unit> storages() {
        return units.values().stream()
                .filter(u -> u.node >= FIRST_STORAGE && u.node < FIRST_GATEWAY)
                .toList();
    }

    /** Starts all processes; those without a data folder found their control group. */
    public void start() throws IOException {
        // a data folder that is there already belongs to a control group that was founded
        for (final Unit u : units.values()) {
            u.start(u.controller && !Files.exists(folder.resolve("data-" + u.node)));
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

    /** POSTs a text. */
    public HttpResponse<String> post(final Unit u, final String path, final String body)
            throws IOException, InterruptedException {
        return http.send(
                HttpRequest.newBuilder(URI.create(u.url(path)))
                        .timeout(Duration.ofSeconds(10))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Until every gateway is ready and sees a leader for every founded group. */
    public boolean awaitReady(final long millis) throws InterruptedException {
        final long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            boolean ready = true;
            for (final Unit u : gateways()) {
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
