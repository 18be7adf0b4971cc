package brookpath.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.node.GatewayNode;
import brookpath.programs.Role;
import brookpath.protocol.frame.FrameCodec;
import brookpath.state.record.LogRecord;
import brookpath.transport.loop.Host;
import java.io.IOException;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What the programs load, from their start to a first session of a client. The smallest machines run a gateway on a
 * twentieth of a core, where each hundred milliseconds of work are two seconds of darkness after a loss of power.
 * Counted in classes, not in time, so that the verdict does not depend on the machine.
 */
@Test(groups = GatewayStartTest.REAL_PROCESSES)
public final class GatewayStartTest {
    /** The group of tests that run alone, see testng.xml. */
    static final String REAL_PROCESSES = "real-processes";

    /** Far above what any start takes; a start that hangs fails the test rather than the build. */
    private static final int TIMEOUT_S = 120;

    private static final String LINKED_CONCATENATION = "java/lang/invoke/StringConcatFactory";

    private Path folder;
    private List<String> loaded;

    @BeforeClass(groups = REAL_PROCESSES)
    public void runTrainingCluster() throws Exception {
        folder = Files.createTempDirectory("brookpath-start");
        final Path classes = folder.resolve("classes.txt");
        final Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xlog:class+load:file=" + classes,
                        "--add-opens",
                        "java.base/jdk.internal.misc=ALL-UNNAMED",
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        ClassArchiveTraining.class.getName())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("output.txt").toFile())
                .start();
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process does not end");
        final String output = Files.readString(folder.resolve("output.txt"));
        assertTrue(output.contains("open to clients") && !output.contains("cut short"), output);
        loaded = Files.readAllLines(classes);
    }

    @AfterClass(groups = REAL_PROCESSES, alwaysRun = true)
    public void removeFolder() throws IOException {
        for (final String name : List.of("classes.txt", "output.txt")) {
            Files.deleteIfExists(folder.resolve(name));
        }
        Files.deleteIfExists(folder);
    }

    /** Each begins the names of classes that cost much to load and that no program needs in order to serve. */
    @DataProvider
    public Object[][] needless() {
        return new Object[][] {
            // the logging library, with its management beans and number formats
            {"org.tinylog."}, {"java.lang.management."}, {"java.text.DecimalFormat"}, {"java.time.format."}
        };
    }

    @Test(groups = REAL_PROCESSES, dataProvider = "needless")
    public void loadsNothingNeedless(final String prefix) {
        final List<String> found = loaded.stream()
                .filter(line -> line.contains("] " + prefix))
                .map(line -> line.substring(line.indexOf(prefix)))
                .limit(3)
                .toList();
        assertEquals(found, List.of(), "needless for a start");
    }

    /** One class of each module that the programs consist of. */
    @DataProvider
    public Object[][] modules() {
        return new Object[][] {
            {LogRecord.class}, {GatewayNode.class}, {FrameCodec.class}, {Host.class}, {Role.class}, {Main.class}
        };
    }

    /**
     * Concatenation that is linked at run time spins a method handle at each place in the code, anew at each start; no
     * class archive holds them. The runtime's own classes load the factory, so the class files are searched for it.
     */
    @Test(groups = REAL_PROCESSES, dataProvider = "modules")
    public void concatenationIsCompiledInline(final Class<?> ofModule) throws Exception {
        final Path location = Path.of(
                ofModule.getProtectionDomain().getCodeSource().getLocation().toURI());
        if (Files.isDirectory(location)) {
            assertNoLinkedConcatenation(location);
            return;
        }
        try (FileSystem jar = FileSystems.newFileSystem(location)) {
            assertNoLinkedConcatenation(jar.getPath("/"));
        }
    }

    private static void assertNoLinkedConcatenation(final Path root) throws IOException {
        final List<Path> files;
        try (Stream<Path> all = Files.walk(root)) {
            files = all.filter(path -> path.toString().endsWith(".class")).toList();
        }
        assertFalse(files.isEmpty(), "no class files under " + root);
        final List<Path> found = new ArrayList<>();
        for (final Path file : files) {
            if (new String(Files.readAllBytes(file), ISO_8859_1).contains(LINKED_CONCATENATION)) {
                found.add(root.relativize(file));
            }
        }
        assertEquals(found, List.of());
    }
}
