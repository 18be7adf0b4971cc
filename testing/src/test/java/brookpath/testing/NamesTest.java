package brookpath.testing;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** The platform's names are used in the platform module only. */
public final class NamesTest {
    private static final Pattern NAMES = Pattern.compile(
            "X-Brookpath-|BROOKPATH_NODE_FILE|/brookpath/readiness|Configuration\\.(Replace|Read)|Retire\\.(Begin|Read)|"
                    + "\"(NodeName|IpAddress|ListenAddresses|InternalPortRange|SeedNodes|FirstStart|DataDirectory|ToleratedLosses|PlatformInterface|InTouchMs|PathPrefix|"
                    + "RetentionS|OrderedDelivery|AccessKeys|InstanceCounts|WindowNumber|Revision|HELLO|SUBSCRIBE|DETACH|AUDIENCE|PUBLISH|UNCERTAIN|EXPIRED|ACCEPTED)[\" ]");

    @Test
    public void platformNamesOccurInThePlatformModuleOnly() throws IOException {
        final Path root = Files.exists(Path.of("platform")) ? Path.of(".") : Path.of("..");
        final List<String> found = new ArrayList<>();
        int filesRead = 0;
        for (final String module :
                new String[] {"state", "coordination", "protocol", "transport", "programs", "tools", "testing/src/main"
                }) {
            try (Stream<Path> files = Files.walk(root.resolve(module))) {
                for (final Path file : files.filter(f -> f.toString().matches(".*/src/.*\\.(java|xml|properties)"))
                        .toList()) {
                    filesRead++;
                    final Matcher m = NAMES.matcher(Files.readString(file));
                    if (m.find()) {
                        found.add(file + ": " + m.group());
                    }
                }
            }
        }
        assertTrue(filesRead > 60, "only " + filesRead + " files were read");
        assertTrue(found.isEmpty(), String.join("\n", found));
        try (Stream<Path> files = Files.walk(root.resolve("platform"))) {
            assertTrue(
                    files.filter(f -> f.toString().endsWith(".java")).anyMatch(f -> {
                        try {
                            return NAMES.matcher(Files.readString(f)).find();
                        } catch (final IOException ex) {
                            throw new java.io.UncheckedIOException(ex);
                        }
                    }),
                    "the pattern matches nothing in the platform module either");
        }
    }
}
