package brookpath.programs.settings;

import brookpath.coordination.TimingBounds;
import java.util.Map;
import java.util.Set;

/**
 * The keys of the settings file and of the flags, with ranges and defaults. docs/operators/settings.md describes each.
 * Times are in milliseconds, sizes in bytes.
 */
final class SettingsKeys {
    static final String ZONE = "zone";
    static final String ROLE = "role";
    static final String PEERS = "peers";
    static final String REACHED_AS = "reachedAs";
    static final String HTTP = "http";
    static final String SEEDS = "seeds";
    static final String DATA = "data";
    static final String PLATFORM = "platform";

    static final String BOUNDS = "bounds";
    static final String FOUNDING = "founding";

    static final String ROLE_GATEWAY = "gateway";
    static final String ROLE_STORAGE = "storage";

    /** The current values of the role by their deprecated ones, which the next release removes. */
    static final Map<String, String> DEPRECATED_ROLES = Map.of("front", ROLE_GATEWAY);

    /** The deprecated names of keys and flags by the current ones; the next release removes them. */
    static final Map<String, String> DEPRECATED_KEYS = Map.of(PEERS, "siblings");

    static final NumberSetting NODE = required("node", 1, 999_999);
    static final NumberSetting TOLERATED_LOSSES = optional("", "toleratedLosses", 0, 3, 1);
    static final NumberSetting SEGMENT_BYTES = optional("", "segmentBytes", 1 << 16, 1 << 30, 8L << 20);

    static final NumberSetting DELIVER_MS =
            optional(BOUNDS, "deliverMs", 400, 60_000, TimingBounds.DEFAULT.deliverMs());
    static final NumberSetting RECOVER_MS =
            optional(BOUNDS, "recoverMs", 1_000, 600_000, TimingBounds.DEFAULT.recoverMs());
    static final NumberSetting CHANGE_MS = optional(BOUNDS, "changeMs", 600, 60_000, TimingBounds.DEFAULT.changeMs());
    static final NumberSetting WINDOW_MS =
            optional(BOUNDS, "windowMs", 1_000, 3_600_000, TimingBounds.DEFAULT.windowMs());

    static final NumberSetting GROUPS = optional(FOUNDING, "groups", 1, 256, 16);
    static final NumberSetting REPLICAS = optional(FOUNDING, "copies", 1, 7, 3);
    private static final String STORAGE_NODES_KEY = "storages";

    /** The keys that the settings file of any program may contain. */
    static final Set<String> KEYS = Set.of(
            NODE.key(),
            ZONE,
            ROLE,
            PEERS,
            DEPRECATED_KEYS.get(PEERS),
            REACHED_AS,
            HTTP,
            SEEDS,
            DATA,
            BOUNDS,
            TOLERATED_LOSSES.key(),
            SEGMENT_BYTES.key());

    /** The keys that only the settings file of a controller may contain in addition. */
    static final Set<String> CONTROLLER_KEYS = Set.of(FOUNDING, PLATFORM);

    static final Set<String> BOUNDS_KEYS = Set.of(DELIVER_MS.key(), RECOVER_MS.key(), CHANGE_MS.key(), WINDOW_MS.key());
    static final Set<String> FOUNDING_KEYS = Set.of(GROUPS.key(), REPLICAS.key(), STORAGE_NODES_KEY);

    private SettingsKeys() {}

    /** How many storage nodes must have joined before groups are placed; by default the number of replicas. */
    static NumberSetting storageNodes(final int replicas) {
        return optional(FOUNDING, STORAGE_NODES_KEY, 1, 64, replicas);
    }

    private static NumberSetting required(final String key, final long minimum, final long maximum) {
        return new NumberSetting("", key, minimum, maximum, null);
    }

    private static NumberSetting optional(
            final String section, final String key, final long minimum, final long maximum, final long defaultValue) {
        return new NumberSetting(section, key, minimum, maximum, defaultValue);
    }
}
