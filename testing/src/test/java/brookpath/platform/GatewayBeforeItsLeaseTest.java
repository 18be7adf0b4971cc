package brookpath.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.platform.line.RedirectServer;
import brookpath.platform.settings.NodeFile;
import brookpath.programs.Role;
import brookpath.transport.loop.Host;
import brookpath.transport.loop.SystemClock;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Clients that connect to a gateway on a small machine before it has a lease on the configuration.
 *
 * <p>Guards against clients that cannot join in time after all machines lose power for a moment. Large gateways serve
 * again after two seconds, but most clients try small gateways, whose ports stay closed for another one to two seconds,
 * and then try other small ones. The settings of a small gateway name the machines whose gateways are available first,
 * so it redirects its clients to those. A join takes a small machine 60 to 120 ms, so without redirects it serves four
 * to eight of its 42 clients within the half second that they wait, however early it accepts them.
 */
@Test(groups = GatewayStartTest.REAL_PROCESSES)
public final class GatewayBeforeItsLeaseTest {
    private static final String SELF = "127.0.0.1";
    private static final List<String> SEEDS = List.of("127.0.0.2", "127.0.0.3");
    private static final double SMALL_PROCESSOR_SHARE = 0.06;
    private static final double LARGE_PROCESSOR_SHARE = 0.66;
    private static final int MAX_CONNECT_ATTEMPTS = 50;
    private static final int RETRY_PAUSE_MS = 100;
    private static final int RESPONSE_TIMEOUT_MS = 60_000;

    private Path folder;
    private Host host;
    private RedirectServer redirects;
    private Thread openerThread;
    private int frontendPort;

    @BeforeMethod(groups = GatewayStartTest.REAL_PROCESSES)
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("brookpath-before-lease");
        frontendPort = freePort();
    }

    @AfterMethod(groups = GatewayStartTest.REAL_PROCESSES, alwaysRun = true)
    public void stop() throws IOException {
        if (host != null) {
            // The opener thread keeps waiting for a lease; it is a daemon thread, so it need not end.
            host.close();
        }
        if (redirects != null) {
            redirects.close();
        }
        Files.deleteIfExists(folder.resolve("node.json"));
        Files.delete(folder);
    }

    @Test(groups = GatewayStartTest.REAL_PROCESSES)
    public void smallGatewayRedirectsClientsToTheSeedGateways() throws Exception {
        start(SMALL_PROCESSOR_SHARE);
        final List<String> firstLines = new ArrayList<>();
        for (int client = 0; client < 2 * SEEDS.size(); client++) {
            firstLines.add(hello("ana-" + client));
        }
        for (final String seed : SEEDS) {
            final String move = "MOVE " + seed + ":" + frontendPort;
            assertEquals(
                    firstLines.stream().filter(move::equals).count(),
                    2,
                    "clients are not spread evenly over the seed gateways: " + firstLines);
        }
    }

    /** A gateway that starts faster than clients time out refuses connections: they try others at once. */
    @Test(groups = GatewayStartTest.REAL_PROCESSES)
    public void largeGatewayRefusesConnectionsBeforeItsLease() throws Exception {
        start(LARGE_PROCESSOR_SHARE);
        TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MS);
        try (Socket socket = new Socket(InetAddress.getByName(SELF), frontendPort)) {
            assertTrue(socket.isClosed(), "a client was accepted before the first lease");
        } catch (final ConnectException ex) {
            assertTrue(openerThread.isAlive(), "the gateway no longer waits for its lease");
        }
    }

    private void start(final double processorShare) throws IOException, InterruptedException {
        final Path file = folder.resolve("node.json");
        Files.writeString(file, settings(processorShare));
        final NodeFile settings = NodeFile.read(file, Role.GATEWAY);
        redirects = Main.startRedirectServer(settings);
        host = Main.start(settings, SystemClock.monotonicMs()).host();
        openerThread = new Thread(() -> openToClients(settings), "opener");
        openerThread.setDaemon(true);
        openerThread.start();
    }

    private void openToClients(final NodeFile settings) {
        try {
            Main.openToClients(settings, host, redirects);
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
    }

    /** Returns the gateway's first line to a client; retries until the gateway listens. */
    private String hello(final String client) throws IOException, InterruptedException {
        for (int attempt = 1; ; attempt++) {
            try (Socket socket = new Socket(InetAddress.getByName(SELF), frontendPort)) {
                socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
                socket.getOutputStream().write(("HELLO " + client + " key\r\n").getBytes(US_ASCII));
                return new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII)).readLine();
            } catch (final ConnectException ex) {
                if (attempt == MAX_CONNECT_ATTEMPTS) {
                    throw ex;
                }
                TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MS);
            }
        }
    }

    private String settings(final double processorShare) {
        final String ports = "\"Frontend\":\"" + SELF + ":" + frontendPort + "\",\"Readiness\":\"" + SELF + ":1\"";
        final List<String> seeds =
                SEEDS.stream().map(seed -> "\"" + seed + ":1\"").toList();
        return "{\"NodeName\":\"gateway-1\",\"IpAddress\":\"" + SELF + "\",\"Zone\":\"z\",\"ListenAddresses\":{" + ports
                + "},\"InternalPortRange\":[1],\"SeedNodes\":" + seeds + ",\"FirstStart\":false,\"DataDirectory\":\"\","
                + "\"Limits\":{\"ProcessorShare\":" + processorShare + ",\"ProcessorCores\":1},"
                + "\"ToleratedLosses\":{\"Machines\":2},\"Bounds\":{}}";
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(SELF))) {
            return socket.getLocalPort();
        }
    }
}
