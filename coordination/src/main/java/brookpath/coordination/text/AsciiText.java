package brookpath.coordination.text;

import java.util.function.IntPredicate;

/** Validates the characters and the length of short texts. */
public final class AsciiText {
    private AsciiText() {}

    /** Whether the text has 1 to {@code maxLength} characters, all printable ASCII other than the space. */
    public static boolean isPrintable(final String text, final int maxLength) {
        return consistsOf(text, 0, maxLength, c -> c >= '!' && c <= '~');
    }

    /** Whether the text has 1 to {@code maxLength} characters, all of them digits 0 to 9. */
    public static boolean isDigits(final String text, final int maxLength) {
        return consistsOf(text, 0, maxLength, c -> c >= '0' && c <= '9');
    }

    /**
     * Whether the text has 1 to {@code maxLength} characters after its first one, all of them digits or lower-case
     * letters.
     */
    public static boolean endsInDigitsOrLetters(final String text, final int maxLength) {
        return consistsOf(text, 1, maxLength, c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z'));
    }

    private static boolean consistsOf(
            final String text, final int from, final int maxLength, final IntPredicate allowed) {
        final int length = text.length() - from;
        if (length < 1 || length > maxLength) {
            return false;
        }
        for (int i = from; i < text.length(); i++) {
            if (!allowed.test(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }
}
