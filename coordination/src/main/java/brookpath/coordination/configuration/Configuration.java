package brookpath.coordination.configuration;

import java.util.Map;
import java.util.Set;

/**
 * One whole confirmed document: spaces, keys and tenants together. Immutable.
 *
 * @param topicsPerSession a session may listen to so many topics
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
    /** Among a tenant's spaces: every one there is. */
    public static final String ALL = "*";

    /** The configuration before the first change. */
    public static final Configuration NONE = new Configuration(0, 0, "", Map.of(), Map.of(), Map.of(), 64);

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
     * @param prefix topics whose names begin so lie in this space, unless a longer prefix fits
     * @param one whether the space promises one order for all
     * @param open whether callers without a key may use it
     * @param answerMs callers give up on a publish after this; 0 where they have not said
     */
    public record Space(
            String name, String prefix, long keepingMs, boolean one, int replSize, boolean open, long answerMs) {
        public Space(final String name, final long keepingMs, final boolean one, final int replSize) {
            this(name, name + "/", keepingMs, one, replSize, false, 0);
        }
    }

    /** A tenant and the spaces that its keys open. */
    public record Tenant(String name, Set<String> spaces) {
        /** Whether the tenant's keys open the space of this name. */
        public boolean uses(final String space) {
            return spaces.contains(space) || spaces.contains(ALL);
        }
    }

    /** The tenant that a key belongs to, null for none. */
    public Tenant tenantOf(final String key) {
        final String name = keys.get(key);
        return name == null ? null : tenants.get(name);
    }

    /** The space that a topic lies in, null for none. */
    public Space spaceOf(final String topic) {
        return prefixes.of(topic);
    }
}
