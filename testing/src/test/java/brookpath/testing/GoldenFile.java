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
 * A checked-in file of expected values, each on a line {@code name | value}. For an intended change of behaviour, the
 * system property {@code golden.write} names a directory to which the values of a run are written. Such a run compares
 * all values at its end, and fails like any other if one differs. Thread-safe.
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
     * @param owner the class whose package contains the resource
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

    /** Returns the expected values by name. */
    public Map<String, String> expected() {
        return expected;
    }

    /** Asserts that the value equals the one in the file under this name. */
    public void assertHolds(final String name, final String value) {
        actual.put(name, value);
        if (directory == null) {
            assertEquals(
                    value,
                    expected.get(name),
                    "\"" + name + "\" differs from " + file + ". If the change is intended, run with -D"
                            + WRITE_PROPERTY
                            + "=DIRECTORY to write a new file, and say in the commit which lines differ and why; ");
        }
    }

    /** Writes the values of this run if the system property is set. To be called after the last test of a class. */
    public void write() throws IOException {
        if (directory != null) {
            final TreeMap<String, String> sorted = new TreeMap<>(actual);
            Files.write(
                    Path.of(directory, file),
                    sorted.entrySet().stream()
                            .map(entry -> entry.getKey() + SEPARATOR + entry.getValue())
                            .toList());
            assertEquals(sorted, expected, file + " differs from the values of this run");
        }
    }
}
