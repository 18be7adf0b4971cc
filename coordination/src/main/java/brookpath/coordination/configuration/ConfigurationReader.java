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

/** Parses a change document and collects all findings on it. */
public final class ConfigurationReader {
    /**
     * The largest document, in bytes. It must fit into one record and one frame; {@code Wire} queues as much for a
     * peer.
     */
    public static final int MAX_BYTES = 4 << 20;

    private static final long MAX_KEEPING_S = 3_600;
    private static final long MAX_ANSWER_MS = 600_000;
    private static final long MS_PER_S = 1_000;
    private static final int MAX_NAME = 64;
    private static final int MAX_CHANGE_ID = 128;
    private static final int MAX_REPLICAS = 7;
    private static final int MAX_TOPICS_PER_SESSION = 10_000;

    /** The limits on what a space may require of the groups. */
    public record Limits(int members, int floor) {}

    /**
     * The result of reading a document: whether it is JSON, the configuration if it could be read, and all findings.
     */
    public record Reading(boolean json, Configuration configuration, List<Finding> findings) {}

    private final Limits limits;
    private final List<Finding> findings = new ArrayList<>();

    private ConfigurationReader(final Limits limits) {
        this.limits = limits;
    }

    /**
     * Reads a change document.
     *
     * @param version the version that the configuration gets if the document names none
     * @param present the configuration that the document is to replace
     */
    public static Reading read(final byte[] doc, final long version, final Limits limits, final Configuration present) {
        final ConfigurationReader rd = new ConfigurationReader(limits);
        final JsonValue root;
        try (JsonReader json = Json.createReaderFactory(Map.of(JsonConfig.KEY_STRATEGY, JsonConfig.KeyStrategy.NONE))
                .createReader(new ByteArrayInputStream(doc), UTF_8)) {
            root = json.readValue();
        } catch (final JsonException | IllegalStateException ex) {
            rd.find("/", "not JSON: " + ex.getMessage());
            return new Reading(false, null, rd.findings);
        }
        if (!(root instanceof JsonObject jsonObject)) {
            rd.find("/", "must be an object");
            return new Reading(true, null, rd.findings);
        }
        final Configuration configuration = rd.configuration(jsonObject, version, present);
        return new Reading(true, configuration, rd.findings);
    }

    /** The configuration of a document that was accepted before. */
    public static Configuration stored(final byte[] doc, final long version) {
        return read(doc, version, new Limits(MAX_REPLICAS, 1), Configuration.NONE).configuration;
    }

    private Configuration configuration(final JsonObject obj, final long version, final Configuration present) {
        only(obj, "", Set.of("version", "basedOn", "changeId", "spaces", "tenants", "topicsPerSession", "annotation"));
        // Users who number their documents themselves need those numbers in basedOn, in the outcome and in the stored
        // document
        final long numbered = num(obj, "", "version", present.version() + 1, Long.MAX_VALUE >> 1, version);
        final long basedOn = num(obj, "", "basedOn", 0, Long.MAX_VALUE, null);
        final String changeId = name(obj, "", "changeId", MAX_CHANGE_ID);
        final Map<String, Space> spaces = spaces(obj, present);
        final Map<String, Tenant> tenants = new LinkedHashMap<>();
        final Map<String, String> keys = new LinkedHashMap<>();
        each(obj, "", "tenants", (item, at) -> tenant(item, at, spaces.keySet(), tenants, keys));
        if (obj.containsKey("annotation") && !(obj.get("annotation") instanceof JsonString)) {
            find("/annotation", "must be a string");
        }
        final long topicsPerSession = num(
                obj, "", "topicsPerSession", 1, MAX_TOPICS_PER_SESSION, (long) Configuration.NONE.topicsPerSession());
        return new Configuration(
                numbered, basedOn, changeId, Map.copyOf(spaces), Map.copyOf(tenants), Map.copyOf(keys), (int)
                        topicsPerSession);
    }

    /** @param present the configuration that the document is to replace */
    private Map<String, Space> spaces(final JsonObject obj, final Configuration present) {
        final Map<String, Space> spaces = new LinkedHashMap<>();
        final Map<String, String> nameByPrefix = new LinkedHashMap<>();
        each(obj, "", "spaces", (item, at) -> {
            final Space space = space(item, at, present, nameByPrefix);
            if (spaces.put(space.name(), space) != null) {
                find(at + "/name", "space \"" + space.name() + "\" is there twice");
            }
        });
        return spaces;
    }

    private Space space(
            final JsonObject item,
            final String at,
            final Configuration present,
            final Map<String, String> nameByPrefix) {
        only(item, at, Set.of("name", "prefix", "keepingSeconds", "order", "replSize", "open", "answerMs"));
        final String name = name(item, at, "name", MAX_NAME);
        final long keepingS = num(item, at, "keepingSeconds", 1, MAX_KEEPING_S, null);
        final String order = str(item, at, "order", "sender");
        if (!order.equals("sender") && !order.equals("one")) {
            find(at + "/order", "must be \"sender\" or \"one\"");
        }
        final boolean one = order.equals("one");
        final int replSize = replSize(item, at);
        final Space before = present.spaces().get(name);
        if (before != null && before.oneOrder() != one) {
            find(at + "/order", "cannot change while the space \"" + name + "\" exists");
        }
        final String prefix = prefix(item, at, name, nameByPrefix);
        final long answerMs = num(item, at, "answerMs", 1, MAX_ANSWER_MS, 0L);
        return new Space(name, prefix, keepingS * MS_PER_S, one, replSize, yes(item, at, "open"), answerMs);
    }

    private int replSize(final JsonObject item, final String at) {
        final int replSize = (int) num(item, at, "replSize", -1, MAX_REPLICAS, (long) limits.floor);
        if (replSize > limits.members) {
            find(at + "/replSize", replSize + " copies cannot be met by groups of " + limits.members);
        } else if (replSize > 0 && replSize < limits.floor) {
            find(at + "/replSize", replSize + " is less than the floor of " + limits.floor + " copies");
        }
        return replSize;
    }

    private String prefix(
            final JsonObject item, final String at, final String name, final Map<String, String> nameByPrefix) {
        final String prefix = str(item, at, "prefix", name + "/");
        if (!prefix.matches("[!-~]{1,128}")) {
            find(at + "/prefix", "must be 1 to 128 printable characters without a space");
        }
        final String other = nameByPrefix.put(prefix, name);
        if (other != null) {
            find(at + "/prefix", "space \"" + other + "\" has the same prefix");
        }
        return prefix;
    }

    private void tenant(
            final JsonObject item,
            final String at,
            final Set<String> spaces,
            final Map<String, Tenant> tenants,
            final Map<String, String> keys) {
        only(item, at, Set.of("name", "spaces", "keys"));
        final String name = name(item, at, "name", MAX_NAME);
        final Set<String> opened = new LinkedHashSet<>();
        strings(item, at, "spaces", (space, place) -> {
            if (!spaces.contains(space) && !space.equals(Configuration.ALL)) {
                find(place, "no space \"" + space + "\" in this document");
            }
            if (!opened.add(space)) {
                find(place, "space \"" + space + "\" is there twice");
            }
        });
        strings(item, at, "keys", (key, place) -> {
            if (!key.matches("[A-Za-z0-9._~+/=-]{8,128}")) {
                find(place, "a key has 8 to 128 letters, digits or ._~+/=-");
            }
            final String other = keys.put(key, name);
            if (other != null) {
                find(place, "the key is also held by tenant \"" + other + "\"");
            }
        });
        if (tenants.put(name, new Tenant(name, Set.copyOf(opened))) != null) {
            find(at + "/name", "tenant \"" + name + "\" is there twice");
        }
    }

    private interface Item<T> {
        void take(T item, String at);
    }

    private void each(final JsonObject obj, final String at, final String field, final Item<JsonObject> fn) {
        list(obj, at, field, (v, place) -> {
            if (v instanceof JsonObject o) {
                fn.take(o, place);
            } else {
                find(place, "must be an object");
            }
        });
    }

    private void strings(final JsonObject obj, final String at, final String field, final Item<String> fn) {
        list(obj, at, field, (v, place) -> {
            if (v instanceof JsonString s) {
                fn.take(s.getString(), place);
            } else {
                find(place, "must be a string");
            }
        });
    }

    private void list(final JsonObject obj, final String at, final String field, final Item<JsonValue> fn) {
        final JsonValue v = obj.get(field);
        if (v instanceof JsonArray arr) {
            for (int i = 0; i < arr.size(); i++) {
                fn.take(arr.get(i), at + "/" + field + "/" + i);
            }
        } else {
            find(at + "/" + field, v == null ? "is missing" : "must be a list");
        }
    }

    private boolean yes(final JsonObject obj, final String at, final String field) {
        final JsonValue v = obj.get(field);
        if (v != null && v != JsonValue.TRUE && v != JsonValue.FALSE) {
            find(at + "/" + field, "must be true or false");
        }
        return v == JsonValue.TRUE;
    }

    private String name(final JsonObject obj, final String at, final String field, final int max) {
        final String v = str(obj, at, field, null);
        if (!v.isEmpty() && (v.length() > max || !v.matches("[A-Za-z0-9._-]+"))) {
            find(at + "/" + field, "must be 1 to " + max + " letters, digits or ._-");
        }
        return v;
    }

    private String str(final JsonObject obj, final String at, final String field, final String absent) {
        final JsonValue v = obj.get(field);
        if (v == null && absent != null) {
            return absent;
        }
        if (!(v instanceof JsonString s) || s.getString().isEmpty()) {
            find(at + "/" + field, v == null ? "is missing" : "must be a string that is not empty");
            return "";
        }
        return s.getString();
    }

    private long num(
            final JsonObject obj,
            final String at,
            final String field,
            final long min,
            final long max,
            final Long absent) {
        final JsonValue v = obj.get(field);
        if (v == null && absent != null) {
            return absent;
        }
        if (!(v instanceof JsonNumber n)
                || !n.isIntegral()
                || n.bigIntegerValue().bitLength() > 62
                || n.longValue() < min
                || n.longValue() > max) {
            find(at + "/" + field, v == null ? "is missing" : "must be a whole number from " + min + " to " + max);
            return min;
        }
        return n.longValue();
    }

    private void only(final JsonObject obj, final String at, final Set<String> known) {
        for (final String field : obj.keySet()) {
            if (!known.contains(field)) {
                find(at + "/" + field, "unknown field");
            }
        }
    }

    private void find(final String place, final String what) {
        findings.add(new Finding(place, what));
    }
}
