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

/** Commands under their former names start the command of the new name with the same arguments, and say so. */
public final class FormerCommandsTest {
    @DataProvider
    public Object[][] commands() {
        return new Object[][] {{"creel", "data-node"}, {"bailiff", "controller"}, {"creel-check", "data-folder-check"}};
    }

    @Test(dataProvider = "commands")
    public void aFormerCommandStartsTheNewOneWithAWarning(final String formerName, final String name)
            throws IOException, InterruptedException {
        final Path root = Files.exists(Path.of("bin")) ? Path.of(".") : Path.of("..");
        assertTrue(Files.isExecutable(root.resolve("bin").resolve(name)), "bin/" + name);
        final Path folder = Files.createTempDirectory("commands");
        Files.copy(
                root.resolve("bin").resolve(formerName),
                folder.resolve(formerName),
                StandardCopyOption.COPY_ATTRIBUTES);
        final Path target = folder.resolve(name);
        Files.writeString(target, "#!/usr/bin/env bash\nprintf '%s|' \"$@\"\nexit 7\n");
        assertTrue(target.toFile().setExecutable(true));
        final Process process = new ProcessBuilder(folder.resolve(formerName).toString(), "--one", "two words").start();
        final String output = new String(process.getInputStream().readAllBytes(), UTF_8);
        final String warnings = new String(process.getErrorStream().readAllBytes(), UTF_8);
        assertEquals(process.waitFor(), 7, "the exit code of bin/" + name);
        assertEquals(output, "--one|two words|");
        assertTrue(warnings.contains(formerName + ": deprecated") && warnings.contains("use " + name), warnings);
    }
}
