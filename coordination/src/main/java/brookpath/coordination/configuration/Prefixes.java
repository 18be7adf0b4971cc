package brookpath.coordination.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Looks up spaces by the prefixes of their topics' names; the longest match wins. Immutable. */
final class Prefixes {
    static final Prefixes NONE = new Prefixes(java.util.List.of());

    private final Map<String, Configuration.Space> byPrefix = new HashMap<>();
    /** Longest first, so that the first match is the longest. */
    private final int[] lengths;

    Prefixes(final Collection<Configuration.Space> spaces) {
        spaces.forEach(s -> byPrefix.put(s.prefix(), s));
        lengths = spaces.stream()
                .mapToInt(s -> s.prefix().length())
                .distinct()
                .map(n -> -n)
                .sorted()
                .map(n -> -n)
                .toArray();
    }

    Configuration.Space of(final String topic) {
        for (final int len : lengths) {
            final Configuration.Space space = topic.length() < len ? null : byPrefix.get(topic.substring(0, len));
            if (space != null) {
                return space;
            }
        }
        return null;
    }
}
