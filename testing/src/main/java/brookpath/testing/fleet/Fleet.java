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

/**
 * A complete fleet of processes on loopback, each with its settings file and data folder. Stops only the processes it
 * started.
 */
@SuppressWarnings("try") // close() may throw InterruptedException
public final class Fleet implements AutoCloseable {
    /** The address on which all processes listen. */
    public static final String HOST = "127.0.0.1";

    private static final String GATEWAY = "gateway";
    private static final String STORAGE = "storage";
    private static final String CONTROLLER = "controller";

    private static final String[] ZONES = {"a", "b", "c", "d"};
    /** The node number of the first controller; storage nodes and gateways have their own first numbers below. */
    private static final int FIRST_CONTROLLER = 1;

    private static final int FIRST_STORAGE = 11;
    private static final int FIRST_GATEWAY = 31;
    private static final int SEEDS = 3;
    private static final int STORAGES = 4;
    private static final int NO_PORT = 0;

    /** The peer port of a node is its HTTP port minus this offset. */
    private static final int PEER_PORT_OFFSET = 1_000;

    /** The zone of a node, derived from its number; "" for callers, who are always in the zone of their gateway. */
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

    /** One process of the fleet. */
    public final class FleetProcess {
        public final int node;
        public final String zone;
        public final boolean controller;
        public final int httpPort;
        private final int peerPort;
        private final int callerPort;
        private final Path settings;
        private Process osProcess;

        FleetProcess(final int node, final String zone, final String role, final int peerPort, final int httpPort)
                throws IOException, InterruptedException {
            this.node = node;
            this.zone = zone;
            this.httpPort = httpPort;
            this.peerPort = peerPort;
            controller = role.equals(CONTROLLER);
            callerPort = relay == null || !role.equals(GATEWAY) ? httpPort : relay.open(node, httpPort, false);
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
                seeds.add(quoted(seed + "@" + HOST + ":" + advertisedSeedPorts[seed]));
            }
            return String.join(",", seeds);
        }

        /**
         * Starts the process.
         *
         * @param found whether the process founds the control group
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
            osProcess = new ProcessBuilder(cmd)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(out))
                    .start();
        }

        /** Whether the process is running. */
        public boolean alive() {
            return osProcess != null && osProcess.isAlive();
        }

        /** Kills the process with SIGKILL. */
        public void kill() throws InterruptedException {
            osProcess.destroyForcibly().waitFor();
        }

        /** Sends SIGTERM, and SIGKILL if the process has not exited after 5 s. */
        public void stop() throws InterruptedException {
            osProcess.destroy();
            if (!osProcess.waitFor(5, SECONDS)) {
                kill();
            }
        }

        /** Sends a signal by its name, such as STOP. */
        public void signal(final String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(osProcess.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        /** The settings file. */
        public Path settings() {
            return settings;
        }

        /** The port on which the process accepts connections from peers; 0 if it accepts none. */
        public int peerPort() {
            return peerPort;
        }

        /** The URL for callers, which leads through the relay if there is one. */
        public String callerUrl(final String path) {
            return "http://" + HOST + ":" + callerPort + path;
        }

        /** The URL for operators, which bypasses the relay. */
        public String url(final String path) {
            return "http://" + HOST + ":" + httpPort + path;
        }
    }

    private final Path folder;
    private final int base;
    private final int[] seedPorts = new int[SEEDS + 1];
    private final int[] advertisedSeedPorts = new int[SEEDS + 1];
    private final Relay relay;
    private final String platform;
    private final Set<Integer> taken = new HashSet<>();
    private final Map<Integer, FleetProcess> processes = new LinkedHashMap<>();
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

    /**
     * @param base first HTTP port, with the peer ports a thousand below; 0 selects free ports at random
     * @param relay the relay between the processes, null for none
     */
    public Fleet(final Path folder, final int base, final int gateways, final Relay relay, final String platform)
            throws IOException, InterruptedException {
        this.relay = relay;
        this.platform = platform;
        this.folder = Files.createDirectories(folder).toAbsolutePath();
        this.base = base;
        for (int i = 1; i <= SEEDS; i++) {
            seedPorts[i] = peerPortOf(i);
            advertisedSeedPorts[i] = relay == null ? seedPorts[i] : relay.open(i, seedPorts[i], true);
        }
        for (int node = FIRST_CONTROLLER; node <= SEEDS; node++) {
            processes.put(node, new FleetProcess(node, zoneOf(node), CONTROLLER, seedPorts[node], port(base + node)));
        }
        for (int node = FIRST_STORAGE; node < FIRST_STORAGE + STORAGES; node++) {
            processes.put(node, new FleetProcess(node, zoneOf(node), STORAGE, peerPortOf(node), port(base + node)));
        }
        for (int node = FIRST_GATEWAY; node < FIRST_GATEWAY + gateways; node++) {
            processes.put(node, new FleetProcess(node, zoneOf(node), GATEWAY, NO_PORT, port(base + node)));
        }
    }

    private int peerPortOf(final int node) throws IOException {
        return port(base - PEER_PORT_OFFSET + node);
    }

    private int port(final int wanted) throws IOException {
        if (base > 0) {
            return wanted;
        }
        // Below the ephemeral port range of the kernel, so that no outgoing connection can occupy the port before the
        // process binds it.
        while (true) {
            final int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                if (taken.add(probe.getLocalPort())) {
                    return port;
                }
            } catch (final BindException ex) {
                // in use by another process; draw another port
            }
        }
    }

    /** All processes by node number. */
    public Map<Integer, FleetProcess> processes() {
        return processes;
    }

    /** The gateways. */
    public List<FleetProcess> gateways() {
        return processes.values().stream()
                .filter(process -> process.node >= FIRST_GATEWAY)
                .toList();
    }

    /** The storage nodes. */
    public List<FleetProcess> storages() {
        return processes.values().stream()
                .filter(process -> process.node >= FIRST_STORAGE && process.node < FIRST_GATEWAY)
                .toList();
    }

    /** Starts all processes; controllers without a data folder found the control group. */
    public void start() throws IOException {
        // an existing data folder belongs to a control group that is already founded
        for (final FleetProcess process : processes.values()) {
            process.start(process.controller && !Files.exists(folder.resolve("data-" + process.node)));
        }
    }

    /** Returns the body of a GET request; empty if the request fails or its status is not 200. */
    public String get(final FleetProcess process, final String path) throws InterruptedException {
        try {
            final HttpResponse<String> r = http.send(
                    HttpRequest.newBuilder(URI.create(process.url(path)))
                            .timeout(Duration.ofSeconds(1))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return r.statusCode() == 200 ? r.body() : "";
        } catch (final IOException ex) {
            return "";
        }
    }

    /** Sends a POST request with the body. */
    public HttpResponse<String> post(final FleetProcess process, final String path, final String body)
            throws IOException, InterruptedException {
        return http.send(
                HttpRequest.newBuilder(URI.create(process.url(path)))
                        .timeout(Duration.ofSeconds(10))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Waits until every gateway is ready and every group is founded and has a leader; false if the time runs out. */
    public boolean awaitReady(final long millis) throws InterruptedException {
        final long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            boolean ready = true;
            for (final FleetProcess process : gateways()) {
                final String status = get(process, "/v1/status");
                ready &= !get(process, "/v1/ready").isEmpty()
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
        for (final FleetProcess process : processes.values()) {
            if (process.alive()) {
                process.osProcess.destroy();
            }
        }
        for (final FleetProcess process : processes.values()) {
            if (process.osProcess != null && !process.osProcess.waitFor(5, SECONDS)) {
                process.kill();
            }
        }
    }
}
