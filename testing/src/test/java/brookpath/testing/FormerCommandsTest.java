package brookpath.testing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Each deprecated command runs its replacement with the same arguments and prints a deprecation warning. */
public final class FormerCommandsTest {
    @DataProvider
    public Object[][] commands() {
        return new Object[][] {{"creel", "data-node"}, {"bailiff", "controller"}, {"creel-check", "data-folder-check"}};
    }

    @Test(dataProvider = "commands")
    public void aDeprecatedCommandRunsItsReplacementWithAWarning(final String deprecatedName, final String name)
            throws IOException, InterruptedException {
        final Path root = Files.exists(Path.of("bin")) ? Path.of(".") : Path.of("..");
        assertTrue(Files.isExecutable(root.resolve("bin").resolve(name)), "bin/" + name);
        final Path folder = Files.createTempDirectory("commands");
        Files.copy(
                root.resolve("bin").resolve(deprecatedName),
                folder.resolve(deprecatedName),
                StandardCopyOption.COPY_ATTRIBUTES);
        final Path target = folder.resolve(name);
        Files.writeString(target, "#!/usr/bin/env bash\nprintf '%s|' \"$@\"\nexit 7\n");
        assertTrue(target.toFile().setExecutable(true));
        final Process process =
                new ProcessBuilder(folder.resolve(deprecatedName).toString(), "--one", "two words").start();
        final String output = new String(process.getInputStream().readAllBytes(), UTF_8);
        final String warnings = new String(process.getErrorStream().readAllBytes(), UTF_8);
        assertEquals(process.waitFor(), 7, "the exit code of bin/" + name);
        assertEquals(output, "--one|two words|");
        assertTrue(warnings.contains(deprecatedName + ": deprecated") && warnings.contains("use " + name), warnings);
    }
}
