package brookpath.coordination.configuration;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.configuration.Configuration.Space;
import brookpath.coordination.configuration.Configuration.Tenant;
import jakarta.json.Json;
import jakarta.json.JsonArray;
import jakarta.json.JsonConfig;
import jakarta.json.JsonException;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Parses and validates a configuration document, and collects all findings on it. */
public final class ConfigurationReader {
    /**
     * The maximum size of a document, in bytes. A document must fit into one record and one frame; {@code Wire} queues
     * as many bytes for a peer.
     */
    public static final int MAX_BYTES = 4 << 20;

    private static final long MAX_RETENTION_S = 3_600;
    private static final long MAX_ANSWER_MS = 600_000;
    private static final long MS_PER_S = 1_000;
    private static final int MAX_NAME = 64;
    private static final int MAX_CHANGE_ID = 128;
    private static final int MAX_REPLICAS = 7;
    private static final int MAX_TOPICS_PER_SESSION = 10_000;

    /**
     * The limits on the replica count that a space may require.
     *
     * @param members the number of members of a group
     * @param floor the smallest replica count that is permitted
     */
    public record Limits(int members, int floor) {}

    /**
     * The result of reading a document: whether it is JSON, the configuration if it could be read, and all findings on
     * it.
     */
    public record Reading(boolean json, Configuration configuration, List<Finding> findings) {}

    private final Limits limits;
    private final List<Finding> findings = new ArrayList<>();

    private ConfigurationReader(final Limits limits) {
        this.limits = limits;
    }

    /**
     * Reads the document of a configuration change.
     *
     * @param version the version that the configuration gets if the document names none
     * @param present the configuration that the document is to replace
     */
    public static Reading read(final byte[] doc, final long version, final Limits limits, final Configuration present) {
        final ConfigurationReader reader = new ConfigurationReader(limits);
        final JsonValue root;
        try (JsonReader json = Json.createReaderFactory(Map.of(JsonConfig.KEY_STRATEGY, JsonConfig.KeyStrategy.NONE))
                .createReader(new ByteArrayInputStream(doc), UTF_8)) {
            root = json.readValue();
        } catch (final JsonException | IllegalStateException ex) {
            reader.addFinding("/", "not JSON: " + ex.getMessage());
            return new Reading(false, null, reader.findings);
        }
        if (!(root instanceof JsonObject jsonObject)) {
            reader.addFinding("/", "must be an object");
            return new Reading(true, null, reader.findings);
        }
        final Configuration configuration = reader.configuration(jsonObject, version, present);
        return new Reading(true, configuration, reader.findings);
    }

    /** The configuration of a stored document, which was accepted before. */
    public static Configuration stored(final byte[] doc, final long version) {
        return read(doc, version, new Limits(MAX_REPLICAS, 1), Configuration.NONE).configuration;
    }

    private Configuration configuration(final JsonObject obj, final long version, final Configuration present) {
        rejectUnknownFields(
                obj,
                "",
                Set.of("version", "basedOn", "changeId", "spaces", "tenants", "topicsPerSession", "annotation"));
        // Users may number their documents themselves; basedOn, the outcome and the stored document then use those
        // numbers
        final long numbered = integer(obj, "", "version", present.version() + 1, Long.MAX_VALUE >> 1, version);
        final long basedOn = integer(obj, "", "basedOn", 0, Long.MAX_VALUE, null);
        final String changeId = name(obj, "", "changeId", MAX_CHANGE_ID);
        final Map<String, Space> spaces = spaces(obj, present);
        final Map<String, Tenant> tenants = new LinkedHashMap<>();
        final Map<String, String> keys = new LinkedHashMap<>();
        forEachObject(obj, "", "tenants", (item, at) -> tenant(item, at, spaces.keySet(), tenants, keys));
        if (obj.containsKey("annotation") && !(obj.get("annotation") instanceof JsonString)) {
            addFinding("/annotation", "must be a string");
        }
        final long topicsPerSession = integer(
                obj, "", "topicsPerSession", 1, MAX_TOPICS_PER_SESSION, (long) Configuration.NONE.topicsPerSession());
        return new Configuration(
                numbered, basedOn, changeId, Map.copyOf(spaces), Map.copyOf(tenants), Map.copyOf(keys), (int)
                        topicsPerSession);
    }

    /** @param present the configuration that the document is to replace */
    private Map<String, Space> spaces(final JsonObject obj, final Configuration present) {
        final Map<String, Space> spaces = new LinkedHashMap<>();
        final Map<String, String> nameByPrefix = new LinkedHashMap<>();
        forEachObject(obj, "", "spaces", (item, at) -> {
            final Space space = space(item, at, present, nameByPrefix);
            if (spaces.put(space.name(), space) != null) {
                addFinding(at + "/name", "duplicate space \"" + space.name() + "\"");
            }
        });
        return spaces;
    }

    private Space space(
            final JsonObject item,
            final String at,
            final Configuration present,
            final Map<String, String> nameByPrefix) {
        rejectUnknownFields(
                item, at, Set.of("name", "prefix", "keepingSeconds", "order", "replSize", "open", "answerMs"));
        final String name = name(item, at, "name", MAX_NAME);
        final long retentionS = integer(item, at, "keepingSeconds", 1, MAX_RETENTION_S, null);
        final String order = string(item, at, "order", "sender");
        if (!order.equals("sender") && !order.equals("one")) {
            addFinding(at + "/order", "must be \"sender\" or \"one\"");
        }
        final boolean oneOrder = order.equals("one");
        final int replSize = replSize(item, at);
        final Space before = present.spaces().get(name);
        if (before != null && before.oneOrder() != oneOrder) {
            addFinding(at + "/order", "cannot change while the space \"" + name + "\" exists");
        }
        final String prefix = prefix(item, at, name, nameByPrefix);
        final long answerMs = integer(item, at, "answerMs", 1, MAX_ANSWER_MS, 0L);
        return new Space(name, prefix, retentionS * MS_PER_S, oneOrder, replSize, bool(item, at, "open"), answerMs);
    }

    private int replSize(final JsonObject item, final String at) {
        final int replSize = (int) integer(item, at, "replSize", -1, MAX_REPLICAS, (long) limits.floor);
        if (replSize > limits.members) {
            addFinding(at + "/replSize", replSize + " copies exceed the group size of " + limits.members);
        } else if (replSize > 0 && replSize < limits.floor) {
            addFinding(at + "/replSize", replSize + " is less than the minimum of " + limits.floor + " copies");
        }
        return replSize;
    }

    private String prefix(
            final JsonObject item, final String at, final String name, final Map<String, String> nameByPrefix) {
        final String prefix = string(item, at, "prefix", name + "/");
        if (!prefix.matches("[!-~]{1,128}")) {
            addFinding(at + "/prefix", "must be 1 to 128 printable characters without a space");
        }
        final String other = nameByPrefix.put(prefix, name);
        if (other != null) {
            addFinding(at + "/prefix", "space \"" + other + "\" has the same prefix");
        }
        return prefix;
    }

    private void tenant(
            final JsonObject item,
            final String at,
            final Set<String> spaces,
            final Map<String, Tenant> tenants,
            final Map<String, String> keys) {
        rejectUnknownFields(item, at, Set.of("name", "spaces", "keys"));
        final String name = name(item, at, "name", MAX_NAME);
        final Set<String> accessible = new LinkedHashSet<>();
        forEachString(item, at, "spaces", (space, place) -> {
            if (!spaces.contains(space) && !space.equals(Configuration.ALL)) {
                addFinding(place, "no space \"" + space + "\" in this document");
            }
            if (!accessible.add(space)) {
                addFinding(place, "duplicate space \"" + space + "\"");
            }
        });
        forEachString(item, at, "keys", (key, place) -> {
            if (!key.matches("[A-Za-z0-9._~+/=-]{8,128}")) {
                addFinding(place, "must be 8 to 128 letters, digits or ._~+/=-");
            }
            final String other = keys.put(key, name);
            if (other != null) {
                addFinding(place, "the key also belongs to tenant \"" + other + "\"");
            }
        });
        if (tenants.put(name, new Tenant(name, Set.copyOf(accessible))) != null) {
            addFinding(at + "/name", "duplicate tenant \"" + name + "\"");
        }
    }

    private interface ElementHandler<T> {
        void handle(T item, String at);
    }

    private void forEachObject(
            final JsonObject obj, final String at, final String field, final ElementHandler<JsonObject> handler) {
        forEachElement(obj, at, field, (value, place) -> {
            if (value instanceof JsonObject o) {
                handler.handle(o, place);
            } else {
                addFinding(place, "must be an object");
            }
        });
    }

    private void forEachString(
            final JsonObject obj, final String at, final String field, final ElementHandler<String> handler) {
        forEachElement(obj, at, field, (value, place) -> {
            if (value instanceof JsonString s) {
                handler.handle(s.getString(), place);
            } else {
                addFinding(place, "must be a string");
            }
        });
    }

    private void forEachElement(
            final JsonObject obj, final String at, final String field, final ElementHandler<JsonValue> handler) {
        final JsonValue value = obj.get(field);
        if (value instanceof JsonArray arr) {
            for (int i = 0; i < arr.size(); i++) {
                handler.handle(arr.get(i), at + "/" + field + "/" + i);
            }
        } else {
            addFinding(at + "/" + field, value == null ? "is missing" : "must be an array");
        }
    }

    private boolean bool(final JsonObject obj, final String at, final String field) {
        final JsonValue value = obj.get(field);
        if (value != null && value != JsonValue.TRUE && value != JsonValue.FALSE) {
            addFinding(at + "/" + field, "must be true or false");
        }
        return value == JsonValue.TRUE;
    }

    private String name(final JsonObject obj, final String at, final String field, final int max) {
        final String value = string(obj, at, field, null);
        if (!value.isEmpty() && (value.length() > max || !value.matches("[A-Za-z0-9._-]+"))) {
            addFinding(at + "/" + field, "must be 1 to " + max + " letters, digits or ._-");
        }
        return value;
    }

    private String string(final JsonObject obj, final String at, final String field, final String defaultValue) {
        final JsonValue value = obj.get(field);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        if (!(value instanceof JsonString s) || s.getString().isEmpty()) {
            addFinding(at + "/" + field, value == null ? "is missing" : "must be a string that is not empty");
            return "";
        }
        return s.getString();
    }

    private long integer(
            final JsonObject obj,
            final String at,
            final String field,
            final long min,
            final long max,
            final Long defaultValue) {
        final JsonValue value = obj.get(field);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        if (!(value instanceof JsonNumber n)
                || !n.isIntegral()
                || n.bigIntegerValue().bitLength() > 62
                || n.longValue() < min
                || n.longValue() > max) {
            addFinding(
                    at + "/" + field,
                    value == null ? "is missing" : "must be a whole number from " + min + " to " + max);
            return min;
        }
        return n.longValue();
    }

    private void rejectUnknownFields(final JsonObject obj, final String at, final Set<String> known) {
        for (final String field : obj.keySet()) {
            if (!known.contains(field)) {
                addFinding(at + "/" + field, "unknown field");
            }
        }
    }

    private void addFinding(final String place, final String what) {
        findings.add(new Finding(place, what));
    }
}
