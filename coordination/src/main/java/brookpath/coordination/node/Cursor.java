package brookpath.coordination.node;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;

/** Where a subscription stands, per topic. Opaque to the callers. */
final class Cursor {
    private Cursor() {
    }

    static String write(final Map<String, Long> at) {
        final StringBuilder sb = new StringBuilder();
        at.forEach((topic, pos) -> sb.append(sb.length() == 0 ? "" : ",").append(topic).append('@').append(pos));
        return Base64.getUrlEncoder().withoutPadding().encodeToString(sb.toString().getBytes(UTF_8));
    }

    /** Null where the text is no cursor. */
    static Map<String, Long> read(final String text) {
        final Map<String, Long> at = new TreeMap<>();
        if (text == null || text.isEmpty()) {
            return at;
        }
        try {
            for (final String part : new String(Base64.getUrlDecoder().decode(text), UTF_8).split(",")) {
                final int sep = part.lastIndexOf('@');
                final long pos = sep < 0 ? -1 : Long.parseLong(part.substring(sep + 1));
                if (pos < 0) {
                    return null;
                }
                at.put(part.substring(0, sep), pos);
            }
        } catch (final IllegalArgumentException ex) {
            return null;
        }
        return at;
    }
}
