package brookpath.testing.mutate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** The tables of mutants match the code, so that {@code bin/mutants} can apply each row. */
public final class MutantTableTest {
    @Test
    public void textOfEachMutantIsInTheCode() throws IOException {
        assertEquals(missing(Mutants.TABLE), List.of());
    }

    @Test
    public void textOfEachModelMutantIsInTheCode() throws IOException {
        assertEquals(missing(Mutants.MODEL_TABLE), List.of());
    }

    /** Error messages for the rows whose text is not in the file that they name. */
    private static List<String> missing(final String table) throws IOException {
        final List<Mutants.Mutant> mutants = Mutants.read(table, "");
        assertTrue(mutants.size() > 10, "only " + mutants.size() + " rows in " + table);
        final List<String> missing = new ArrayList<>();
        for (final Mutants.Mutant mutant : mutants) {
            try {
                mutant.locate(checkout());
            } catch (final IllegalStateException | IOException ex) {
                missing.add(String.valueOf(ex.getMessage()));
            }
        }
        return missing;
    }

    /** The top directory of the checkout, found upwards because tests run in the directory of their module. */
    private static Path checkout() {
        Path directory = Path.of("").toAbsolutePath();
        while (!Files.isDirectory(directory.resolve("coordination"))) {
            directory = directory.getParent();
        }
        return directory;
    }
}
