package brookpath.coordination.spec;

import java.util.Map;
import java.util.Set;

/** One whole confirmed document: spaces, keys and tenants together. Immutable. */
public record Spec(long version, long basedOn, String changeId, Map<String, Space> spaces, Map<String, Tenant> tenants, Map<String, String> keys) {
    public static final Spec NONE = new Spec(0, 0, "", Map.of(), Map.of(), Map.of());

    /** @param one whether the space promises one order for all */
    public record Space(String name, long keepingMs, boolean one, int replSize) {
    }

    public record Tenant(String name, Set<String> spaces) {
    }

    public Tenant tenantOf(final String key) {
        final String name = keys.get(key);
        return name == null ? null : tenants.get(name);
    }

    public static String spaceOf(final String topic) {
        return topic.substring(0, topic.indexOf('/'));
    }
}
