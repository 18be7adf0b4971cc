package brookpath.coordination.configuration;

import brookpath.coordination.configuration.Configuration.Space;
import brookpath.coordination.configuration.Configuration.Tenant;
import brookpath.state.record.PackedBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The binary encoding in which the control leader sends an accepted configuration to the processes that apply it. It is
 * canonical: all controllers encode the same configuration to the same bytes, so that a delta from one leader applies
 * to a version that another one has sent.
 */
public final class PackedConfiguration {
    /** The first number of the encoding. */
    private static final long FORMAT = 1;

    private static final int ONE_ORDER = 1;
    private static final int OPEN = 2;
    private static final int FLAG_BITS = 2;

    private PackedConfiguration() {}

    /** Encodes a configuration. */
    public static byte[] encode(final Configuration configuration) {
        final PackedBuffer buffer = PackedBuffer.writer()
                .putLong(FORMAT)
                .putLong(configuration.version())
                .putLong(configuration.basedOn())
                .putString(configuration.changeId())
                .putLong(configuration.topicsPerSession())
                .putLong(configuration.spaces().size());
        // Sorted, because the iteration order of the maps differs between processes
        new TreeMap<>(configuration.spaces()).values().forEach(space -> putSpace(buffer, space));
        buffer.putLong(configuration.tenants().size());
        new TreeMap<>(configuration.tenants()).values().forEach(tenant -> putTenant(buffer, tenant));
        buffer.putLong(configuration.keys().size());
        new TreeMap<>(configuration.keys())
                .forEach((key, tenant) -> buffer.putString(key).putString(tenant));
        return buffer.toByteArray();
    }

    private static void putSpace(final PackedBuffer buffer, final Space space) {
        final long flags = (space.oneOrder() ? ONE_ORDER : 0) | (space.open() ? OPEN : 0);
        buffer.putString(space.name())
                .putString(space.prefix())
                .putLong(space.retentionMs())
                .putLong((long) space.replSize() << FLAG_BITS | flags)
                .putLong(space.answerMs());
    }

    private static void putTenant(final PackedBuffer buffer, final Tenant tenant) {
        buffer.putString(tenant.name()).putLong(tenant.spaces().size());
        new TreeSet<>(tenant.spaces()).forEach(buffer::putString);
    }

    /**
     * Decodes the result of {@link #encode}. Nothing is validated again: the control plane has accepted the
     * configuration.
     *
     * @throws IllegalStateException if the format is not the one that this release reads
     */
    public static Configuration decode(final byte[] encoded) {
        final PackedBuffer in = PackedBuffer.reader(encoded);
        final long format = in.getLong();
        if (format != FORMAT) {
            throw new IllegalStateException(
                    "the configuration has format " + format + ", and this program reads format " + FORMAT);
        }
        final long version = in.getLong();
        final long basedOn = in.getLong();
        final String changeId = in.getString();
        final int topicsPerSession = (int) in.getLong();
        return new Configuration(
                version, basedOn, changeId, getSpaces(in), getTenants(in), getKeys(in), topicsPerSession);
    }

    private static Map<String, Space> getSpaces(final PackedBuffer in) {
        final Map<String, Space> spaces = new HashMap<>();
        for (long n = in.getLong(); n > 0; n--) {
            final Space space = getSpace(in);
            spaces.put(space.name(), space);
        }
        return Map.copyOf(spaces);
    }

    private static Space getSpace(final PackedBuffer in) {
        final String name = in.getString();
        final String prefix = in.getString();
        final long retentionMs = in.getLong();
        final long replicasAndFlags = in.getLong();
        return new Space(
                name,
                prefix,
                retentionMs,
                (replicasAndFlags & ONE_ORDER) != 0,
                (int) (replicasAndFlags >> FLAG_BITS),
                (replicasAndFlags & OPEN) != 0,
                in.getLong());
    }

    private static Map<String, Tenant> getTenants(final PackedBuffer in) {
        final Map<String, Tenant> tenants = new HashMap<>();
        for (long n = in.getLong(); n > 0; n--) {
            final String name = in.getString();
            final String[] spaces = new String[(int) in.getLong()];
            for (int i = 0; i < spaces.length; i++) {
                spaces[i] = in.getString();
            }
            tenants.put(name, new Tenant(name, Set.of(spaces)));
        }
        return Map.copyOf(tenants);
    }

    private static Map<String, String> getKeys(final PackedBuffer in) {
        final Map<String, String> keys = new HashMap<>();
        for (long n = in.getLong(); n > 0; n--) {
            keys.put(in.getString(), in.getString());
        }
        return Map.copyOf(keys);
    }
}
