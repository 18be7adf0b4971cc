package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** The Java sources do not use the words in withdrawn-words.txt, except as the literals in old-names.txt. */
public final class WithdrawnWordsTest {
    private static final int MIN_FILES = 150;
    /** A word of a comment or a string, or one part of a camel-case identifier. */
    private static final Pattern PART = Pattern.compile("[A-Z]+(?![a-z])|[A-Z]?[a-z]+");

    private final Map<String, String> replacements = entries("withdrawn-words.txt");
    private final List<Pattern> oldNames = entries("old-names.txt").keySet().stream()
            .map(WithdrawnWordsTest::literalFlagOrPath)
            .toList();

    @Test
    public void noSourceUsesAWithdrawnWord() throws IOException {
        final Path root = Files.exists(Path.of("platform")) ? Path.of(".") : Path.of("..");
        final List<String> found = new ArrayList<>();
        final List<Path> sources = sources(root);
        for (final Path source : sources) {
            int number = 0;
            for (final String line : Files.readAllLines(source)) {
                number++;
                for (final String word : withdrawnWords(line)) {
                    found.add(root.relativize(source) + ":" + number + ": \"" + word + "\" is now "
                            + replacements.get(word));
                }
            }
        }
        assertTrue(sources.size() > MIN_FILES, "only " + sources.size() + " source files found");
        assertTrue(found.isEmpty(), found.size() + " withdrawn words:\n" + String.join("\n", found));
    }

    @Test
    public void wordsAreFoundInIdentifiersCommentsAndStrings() {
        assertEquals(withdrawnWords("private Ferry x; // to the PIER"), List.of("ferry", "pier"));
        assertEquals(
                withdrawnWords("nodeFerry.roster2(HORIZON_MS, Creels.MAX, creelish)"),
                List.of("ferry", "roster", "horizon", "creel*", "creel*"));
        assertEquals(withdrawnWords("happier, temporary, horizontal, siblingless"), List.of());
    }

    @Test
    public void oldNamesAreAllowedOnlyAsLiteralsFlagsAndPaths() {
        assertEquals(withdrawnWords("differs(list, \"siblings\", \"{\\\"rosterVersion\\\":\")"), List.of());
        assertEquals(withdrawnWords("say(\"--siblings 1, /siblings: wrong\")"), List.of());
        assertEquals(withdrawnWords("say(\"--siblingsOf /siblings-x\")"), List.of("siblings", "siblings"));
        assertEquals(withdrawnWords("say(\"the siblings\", siblings)"), List.of("siblings", "siblings"));
    }

    /** The entries of the word list that a source line matches, in order of occurrence. */
    private List<String> withdrawnWords(final String line) {
        String text = line.replace("\\\"", "\"");
        for (final Pattern name : oldNames) {
            text = name.matcher(text).replaceAll("");
        }
        final List<String> found = new ArrayList<>();
        final Matcher parts = PART.matcher(text);
        while (parts.find()) {
            final String part = parts.group().toLowerCase(Locale.ROOT);
            replacements.keySet().stream().filter(word -> matches(word, part)).forEach(found::add);
        }
        return found;
    }

    /** Matches a name as a whole string literal, as a command-line flag or as a path element in a document. */
    private static Pattern literalFlagOrPath(final String name) {
        final String quoted = Pattern.quote(name);
        return Pattern.compile("\"" + quoted + "\"|(--|/)" + quoted + "(?![\\w-])");
    }

    private static boolean matches(final String word, final String part) {
        return word.endsWith("*") ? part.startsWith(word.substring(0, word.length() - 1)) : part.equals(word);
    }

    private static List<Path> sources(final Path root) throws IOException {
        final List<Path> sources = new ArrayList<>();
        try (Stream<Path> modules = Files.list(root)) {
            for (final Path module : modules.filter(m -> Files.isDirectory(m.resolve("src")))
                    .sorted()
                    .toList()) {
                try (Stream<Path> files = Files.walk(module.resolve("src"))) {
                    files.filter(WithdrawnWordsTest::isChecked).sorted().forEach(sources::add);
                }
            }
        }
        return sources;
    }

    private static boolean isChecked(final Path file) {
        // This test contains the words itself to show that they are found.
        return file.toString().endsWith(".java") && !file.endsWith("WithdrawnWordsTest.java");
    }

    /** The "key = value" lines of a resource; lines that begin with # are comments. */
    private static Map<String, String> entries(final String resource) {
        final Map<String, String> entries = new TreeMap<>();
        try (InputStream in = WithdrawnWordsTest.class.getResourceAsStream("/" + resource)) {
            new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .forEach(line -> entries.put(line.split(" = ")[0], line.split(" = ")[1]));
        } catch (final IOException ex) {
            throw new UncheckedIOException(ex);
        }
        return entries;
    }
}
