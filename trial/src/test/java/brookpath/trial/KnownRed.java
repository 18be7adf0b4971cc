package brookpath.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.SkipException;

/** Tests that are red for a real fault which is not mended yet: KNOWN-RED.txt names them; they run, and their failure is printed and passed over. */
final class KnownRed {
    private KnownRed() {
    }

    static void run(final String test, final Runnable body) {
        try {
            body.run();
        } catch (final AssertionError ex) {
            if (!listed(test)) {
                throw ex;
            }
            System.out.println("KNOWN RED " + test + ": " + ex.getMessage().lines().skip(1).findFirst().orElse(ex.getMessage()));
            throw new SkipException("known red: " + test);
        }
    }

    private static boolean listed(final String test) {
        final Path file = Files.exists(Path.of("KNOWN-RED.txt")) ? Path.of("KNOWN-RED.txt") : Path.of("..", "KNOWN-RED.txt");
        try {
            return Files.exists(file) && Files.readAllLines(file).stream().anyMatch(line -> line.startsWith(test + " |"));
        } catch (final IOException ex) {
            return false;
        }
    }
}
