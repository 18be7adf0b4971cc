package brookpath.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What a gateway loads until it listens. The smallest machines run it on a twentieth of a core, where each hundred
 * milliseconds of work are two seconds of darkness after a loss of power. Counted in classes, not in time, so that the
 * verdict does not depend on the machine.
 */
@Test(groups = GatewayStartTest.REAL_PROCESSES)
public final class GatewayStartTest {
    /** The group of tests that run alone, see testng.xml. */
    static final String REAL_PROCESSES = "real-processes";

    /** Far above what any start takes; a start that hangs fails the test rather than the build. */
    private static final int TIMEOUT_S = 120;

    private static final String HOST = "127.0.0.1";

    private Path folder;
    private List<String> loaded;

    @BeforeClass(groups = REAL_PROCESSES)
    public void startOnce() throws Exception {
        folder = Files.createTempDirectory("brookpath-start");
        final Path settings = folder.resolve("node.json");
        Files.writeString(settings, settings());
        final Path classes = folder.resolve("classes.txt");
        final ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + classes,
                "--add-opens",
                "java.base/jdk.internal.misc=ALL-UNNAMED",
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "brookpath.platform.Main",
                "gateway");
        builder.environment().put("BROOKPATH_NODE_FILE", settings.toString());
        final Process process = builder.redirectErrorStream(true).start();
        try (BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8))) {
            awaitListening(output);
        } finally {
            process.destroyForcibly();
            assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process does not end");
        }
        loaded = Files.readAllLines(classes);
    }

    @AfterClass(groups = REAL_PROCESSES, alwaysRun = true)
    public void removeFolder() throws IOException {
        for (final String name : List.of("node.json", "classes.txt")) {
            Files.deleteIfExists(folder.resolve(name));
        }
        Files.deleteIfExists(folder);
    }

    private static void awaitListening(final BufferedReader output) throws IOException {
        final List<String> lines = new ArrayList<>();
        for (String line = output.readLine(); line != null; line = output.readLine()) {
            if (line.contains("gateway listens")) {
                return;
            }
            lines.add(line);
        }
        throw new AssertionError("the gateway ended before it listened: " + lines);
    }

    private static String settings() throws IOException {
        final int frontend = freePort();
        final int readiness = freePort();
        return "{\"NodeName\":\"gateway-1\",\"IpAddress\":\"" + HOST + "\",\"Zone\":\"z\",\"ListenAddresses\":{"
                + "\"Frontend\":\"" + HOST + ":" + frontend + "\",\"Readiness\":\"" + HOST + ":" + readiness + "\"},"
                + "\"InternalPortRange\":[1,4],\"SeedNodes\":[\"127.0.0.2:5\",\"127.0.0.3:5\",\"127.0.0.4:5\"],"
                + "\"FirstStart\":true,\"DataDirectory\":\"\",\"ToleratedLosses\":{\"Machines\":2},\"Bounds\":{}}";
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Each begins the names of classes that cost much to load and that a gateway does not need in order to listen. */
    @DataProvider
    public Object[][] needless() {
        return new Object[][] {
            // string concatenation linked at run time: a method handle is spun for each place in the code
            {"java.lang.invoke.StringConcatFactory"},
            // the search for a hardware address, and the warning where there is none
            {"io.netty.util.internal.MacAddressUtil"},
            // the logging library, with its management beans and number formats
            {"org.tinylog."},
            {"java.lang.management."},
            {"java.text.DecimalFormat"},
            {"java.time.format."}
        };
    }

    @Test(groups = REAL_PROCESSES, dataProvider = "needless")
    public void loadsNothingNeedless(final String prefix) {
        final List<String> found = loaded.stream()
                .filter(line -> line.contains("] " + prefix))
                .map(line -> line.substring(line.indexOf(prefix)))
                .limit(3)
                .toList();
        assertEquals(found, List.of(), "needless until a gateway listens");
    }
}
