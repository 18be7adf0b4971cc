package brookpath.coordination.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Looks up spaces by topic name prefix; the longest match wins. Immutable. */
final class Prefixes {
    static final Prefixes NONE = new Prefixes(List.of());

    private final Map<String, Configuration.Space> byPrefix = new HashMap<>();
    /** The distinct lengths of the prefixes, longest first, so that the first match is the longest. */
    private final int[] lengths;

    Prefixes(final Collection<Configuration.Space> spaces) {
        final TreeSet<Integer> distinctLengths = new TreeSet<>(Comparator.reverseOrder());
        for (final Configuration.Space space : spaces) {
            byPrefix.put(space.prefix(), space);
            distinctLengths.add(space.prefix().length());
        }
        lengths = new int[distinctLengths.size()];
        int next = 0;
        for (final int length : distinctLengths) {
            lengths[next++] = length;
        }
    }

    Configuration.Space longestMatch(final String topic) {
        for (final int length : lengths) {
            final Configuration.Space space = topic.length() < length ? null : byPrefix.get(topic.substring(0, length));
            if (space != null) {
                return space;
            }
        }
        return null;
    }
}
