package brookpath.testing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A checked-in file of expected values, one line {@code name | value} each. The system property {@code golden.write}
 * names a directory into which the values of a run are written, for a change of behaviour that is meant; such a run
 * compares all values at its end, and fails where one differs, like any other. Thread-safe.
 */
public final class GoldenFile {
    private static final String WRITE_PROPERTY = "golden.write";
    private static final String SEPARATOR = " | ";

    private final String directory = System.getProperty(WRITE_PROPERTY);
    private final String file;
    private final TreeMap<String, String> expected = new TreeMap<>();
    private final Map<String, String> actual = new ConcurrentHashMap<>();

    /**
     * Reads the file.
     *
     * @param owner class in whose package the resource lies
     */
    public GoldenFile(final Class<?> owner, final String file) {
        this.file = file;
        try (InputStream in = owner.getResourceAsStream(file)) {
            new String(in.readAllBytes(), UTF_8).lines().forEach(line -> {
                final int end = line.lastIndexOf(SEPARATOR);
                expected.put(line.substring(0, end), line.substring(end + SEPARATOR.length()));
            });
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
    }

    /** The expected values by name. */
    public Map<String, String> expected() {
        return expected;
    }

    /** Fails where the value is not the one that the file holds under this name. */
    public void assertHolds(final String name, final String value) {
        actual.put(name, value);
        if (directory == null) {
            assertEquals(
                    value,
                    expected.get(name),
                    "\"" + name + "\" differs from " + file + ". Where the change is meant, -D" + WRITE_PROPERTY
                            + "=DIRECTORY makes the file anew, and the commit says which lines differ and why; ");
        }
    }

    /** To be called after the last test of a class: writes the values of this run where the system property asks. */
    public void write() throws IOException {
        if (directory != null) {
            final TreeMap<String, String> sorted = new TreeMap<>(actual);
            Files.write(
                    Path.of(directory, file),
                    sorted.entrySet().stream()
                            .map(entry -> entry.getKey() + SEPARATOR + entry.getValue())
                            .toList());
            assertEquals(sorted, expected, file + " is out of date");
        }
    }
}
