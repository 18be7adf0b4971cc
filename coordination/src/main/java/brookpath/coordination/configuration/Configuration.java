package brookpath.coordination.configuration;

import java.util.Map;
import java.util.Set;

/**
 * One version of the configuration: all spaces, keys and tenants. Immutable.
 *
 * @param topicsPerSession the maximum number of topics that a session may listen to
 */
public record Configuration(
        long version,
        long basedOn,
        String changeId,
        Map<String, Space> spaces,
        Map<String, Tenant> tenants,
        Map<String, String> keys,
        int topicsPerSession,
        Prefixes prefixes) {
    /** An entry in a tenant's spaces that stands for all spaces. */
    public static final String ALL = "*";

    /** The configuration before the first change. */
    public static final Configuration NONE = new Configuration(0, 0, "", Map.of(), Map.of(), Map.of(), 64);

    /** Builds the prefix lookup from the spaces. */
    public Configuration(
            final long version,
            final long basedOn,
            final String changeId,
            final Map<String, Space> spaces,
            final Map<String, Tenant> tenants,
            final Map<String, String> keys,
            final int topicsPerSession) {
        this(
                version,
                basedOn,
                changeId,
                spaces,
                tenants,
                keys,
                topicsPerSession,
                spaces.isEmpty() ? Prefixes.NONE : new Prefixes(spaces.values()));
    }

    /**
     * @param prefix topics whose names begin with it belong to this space, unless the longer prefix of another space
     *     matches
     * @param retentionMs how long history is kept, in milliseconds
     * @param oneOrder whether the space guarantees one order over all its topics
     * @param open whether callers without a key may use it
     * @param answerMs how long callers wait for the response to a publish, in milliseconds; 0 where that is unknown
     */
    public record Space(
            String name, String prefix, long retentionMs, boolean oneOrder, int replSize, boolean open, long answerMs) {
        /** A space that needs a key, whose prefix is its name and a slash. */
        public Space(final String name, final long retentionMs, final boolean oneOrder, final int replSize) {
            this(name, name + "/", retentionMs, oneOrder, replSize, false, 0);
        }
    }

    /** A tenant and the spaces that its keys give access to. */
    public record Tenant(String name, Set<String> spaces) {
        /** Whether the tenant's keys give access to the space of this name. */
        public boolean hasAccessTo(final String space) {
            return spaces.contains(space) || spaces.contains(ALL);
        }
    }

    /** The tenant that a key belongs to; null where the key is unknown. */
    public Tenant tenantOf(final String key) {
        final String name = keys.get(key);
        return name == null ? null : tenants.get(name);
    }

    /** The space that a topic belongs to; null where no prefix matches. */
    public Space spaceOf(final String topic) {
        return prefixes.longestMatch(topic);
    }
}
