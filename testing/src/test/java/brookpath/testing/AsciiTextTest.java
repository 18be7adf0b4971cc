package brookpath.testing;

import static org.testng.Assert.assertEquals;

import brookpath.coordination.text.AsciiText;
import brookpath.coordination.text.JsonText;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.StringReader;
import java.util.Random;
import org.testng.annotations.Test;

/** Compares the validation and formatting of short texts with regular expressions and a JSON library. */
public final class AsciiTextTest {
    private static final int ROUNDS = 20_000;
    private static final String CHARACTERS = " !~09azAZc\u007f\u0000\n\"\\\u00e9\u2028";

    @Test
    public void validatesLikeTheRegularExpressions() {
        final Random random = new Random(5);
        for (int round = 0; round < ROUNDS; round++) {
            final String text = text(random, 6);
            assertEquals(AsciiText.isPrintable(text, 4), text.matches("[!-~]{1,4}"), text);
            assertEquals(AsciiText.isDigits(text, 4), text.matches("[0-9]{1,4}"), text);
            assertEquals(
                    text.startsWith("c") && AsciiText.endsInDigitsOrLetters(text, 4),
                    text.matches("c[0-9a-z]{1,4}"),
                    text);
        }
    }

    @Test
    public void jsonLibraryReadsWhatWasWritten() {
        final Random random = new Random(6);
        for (int round = 0; round < ROUNDS; round++) {
            final String one = text(random, 9);
            final String other = text(random, 9);
            final String json =
                    new JsonText().field("one", one).field("other", other).toString();
            final JsonObject read = Json.createReader(new StringReader(json)).readObject();
            assertEquals(read.getString("one"), one);
            assertEquals(read.getString("other"), other);
        }
        assertEquals(new JsonText().toString(), "{}");
    }

    private static String text(final Random random, final int maxLength) {
        final StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(maxLength); i > 0; i--) {
            text.append(CHARACTERS.charAt(random.nextInt(CHARACTERS.length())));
        }
        return text.toString();
    }
}
