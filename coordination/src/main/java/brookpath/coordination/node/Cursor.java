package brookpath.coordination.node;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.text.AsciiText;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;

/** Encodes and decodes the read positions of a subscription, per topic. Callers treat the text as opaque. */
public final class Cursor {
    private static final int MAX_POSITION_DIGITS = 12;

    private Cursor() {}

    /** Encodes the cursor of a single topic; reading continues after the record at the position. */
    public static String encodePosition(final long position) {
        return "c" + Long.toString(position, Character.MAX_RADIX);
    }

    /** Decodes the position in the cursor of a single topic; -1 where the text is not such a cursor. */
    public static long decodePosition(final String text) {
        if (!text.startsWith("c") || !AsciiText.endsInDigitsOrLetters(text, MAX_POSITION_DIGITS)) {
            return -1;
        }
        return Long.parseLong(text.substring(1), Character.MAX_RADIX);
    }

    /** Encodes the cursor of several topics: each topic with the position up to which the subscription has read it. */
    public static String encode(final Map<String, Long> positions) {
        final StringBuilder sb = new StringBuilder();
        positions.forEach((topic, position) ->
                sb.append(sb.length() == 0 ? "" : ",").append(topic).append('@').append(position));
        return Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(sb.toString().getBytes(UTF_8));
    }

    /** Decodes the position of each topic: empty for a null or empty text, null where the text is malformed. */
    static Map<String, Long> decode(final String text) {
        final Map<String, Long> positions = new TreeMap<>();
        if (text == null || text.isEmpty()) {
            return positions;
        }
        try {
            for (final String part : new String(Base64.getUrlDecoder().decode(text), UTF_8).split(",")) {
                final int sep = part.lastIndexOf('@');
                final long position = sep < 0 ? -1 : Long.parseLong(part.substring(sep + 1));
                if (position < 0) {
                    return null;
                }
                positions.put(part.substring(0, sep), position);
            }
        } catch (final IllegalArgumentException ex) {
            return null;
        }
        return positions;
    }
}
