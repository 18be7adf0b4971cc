package brookpath.programs.settings;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.Finding;
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
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Reads the settings file and the flags over it; collects all that is wrong, with its place. */
public final class SettingsReader {
    private static final Set<String> BOTH = Set.of(
            "node",
            "zone",
            "role",
            "siblings",
            "http",
            "seeds",
            "data",
            "bounds",
            "toleratedLosses",
            "segmentBytes",
            "reachedAs");
    private static final Set<String> FLAGS = Set.of("node", "zone", "role", "siblings", "http", "data");

    /**
     * What reading the flags and the file gave: the settings if there were no findings, and what was asked for besides.
     */
    public record Reading(Settings settings, List<Finding> findings, boolean help, boolean checkOnly) {}

    private final List<Finding> findings = new ArrayList<>();
    private final boolean controller;
    private final CommandLine cl;
    private JsonObject file = JsonValue.EMPTY_JSON_OBJECT;

    private SettingsReader(final boolean controller, final CommandLine cl) {
        this.controller = controller;
        this.cl = cl;
    }

    public static Options options(final boolean controller) {
        final Options opts = new Options()
                .addOption(null, "settings", true, "settings file (JSON); flags go over it")
                .addOption(null, "node", true, "this process's number, unique in the fleet")
                .addOption(null, "zone", true, "the zone it runs in")
                .addOption(null, "siblings", true, "host:port on which siblings reach it")
                .addOption(null, "http", true, "host:port for HTTP")
                .addOption(null, "seeds", true, "the three bailiffs: node@host:port,...")
                .addOption(null, "data", true, "the data folder")
                .addOption(null, "check", false, "check the settings and stop")
                .addOption("h", "help", false, "this text");
        return controller
                ? opts.addOption(
                        null, "found", false, "first start ever: found the control group on an empty data folder")
                : opts.addOption(null, "role", true, "front or storage");
    }

    public static Reading read(final String[] args, final boolean controller) {
        return read(args, controller, null);
    }

    /** The settings file that the flags name, null for none. */
    public static Path file(final String[] args, final boolean controller) {
        try {
            final String name =
                    new DefaultParser().parse(options(controller), args).getOptionValue("settings");
            return name == null ? null : Path.of(name);
        } catch (final ParseException ex) {
            return null;
        }
    }

    /** @param content what the settings file held when it was looked at, null to look now */
    static Reading read(final String[] args, final boolean controller, final byte[] content) {
        final CommandLine cl;
        try {
            cl = new DefaultParser().parse(options(controller), args);
        } catch (final ParseException ex) {
            return new Reading(null, List.of(new Finding("flags", ex.getMessage())), false, false);
        }
        final SettingsReader rd = new SettingsReader(controller, cl);
        final Settings settings = cl.hasOption("help") ? null : rd.settings(content);
        return new Reading(settings, rd.findings, cl.hasOption("help"), cl.hasOption("check"));
    }

    private Settings settings(final byte[] content) {
        for (final String arg : cl.getArgList()) {
            findings.add(new Finding("flags", "unexpected \"" + arg + "\""));
        }
        if (cl.hasOption("settings")) {
            final Path path = Path.of(cl.getOptionValue("settings"));
            try (InputStream in = content == null ? Files.newInputStream(path) : new ByteArrayInputStream(content);
                    JsonReader rd = Json.createReaderFactory(
                                    Map.of(JsonConfig.KEY_STRATEGY, JsonConfig.KeyStrategy.NONE))
                            .createReader(in)) {
                file = rd.readObject();
            } catch (final IOException ex) {
                findings.add(new Finding(path.toString(), "cannot be read: " + ex.getMessage()));
            } catch (final JsonException | IllegalStateException ex) {
                findings.add(new Finding(path.toString(), "not a JSON object: " + ex.getMessage()));
            }
        }
        for (final String field : file.keySet()) {
            if (!BOTH.contains(field)
                    && !(controller && Set.of("founding", "platform").contains(field))) {
                findings.add(new Finding("/" + field, "unknown field"));
            }
        }
        final int node = (int) num(file, "", "node", 1, 999_999, null);
        final String zone = text("zone", null);
        final String role = controller ? Settings.CONTROLLER : text("role", null);
        if (!controller && !role.isEmpty() && !role.equals(Settings.GATEWAY) && !role.equals(Settings.STORAGE)) {
            findings.add(new Finding(place("role"), "must be \"front\" or \"storage\""));
        }
        final String peers = address("siblings", role.equals(Settings.GATEWAY) ? "" : null);
        final String http = address("http", null);
        final boolean disk = !role.equals(Settings.GATEWAY);
        final String data = text("data", disk ? null : "");
        final Map<Integer, String> seeds = seeds();
        if (controller && node > 0 && !seeds.isEmpty() && !seeds.containsKey(node)) {
            findings.add(new Finding(place("seeds"), "a bailiff must be among the seeds; node " + node + " is not"));
        }
        if (!controller && seeds.containsKey(node)) {
            findings.add(new Finding(place("node"), "node " + node + " is one of the seeds"));
        }
        final JsonObject bounds = object("bounds", Set.of("deliverMs", "recoverMs", "changeMs", "windowMs"));
        final TimingBounds timing = new TimingBounds(
                num(bounds, "/bounds", "deliverMs", 400, 60_000, TimingBounds.DEFAULT.deliverMs()),
                num(bounds, "/bounds", "recoverMs", 1_000, 600_000, TimingBounds.DEFAULT.recoverMs()),
                num(bounds, "/bounds", "changeMs", 600, 60_000, TimingBounds.DEFAULT.changeMs()),
                num(bounds, "/bounds", "windowMs", 1_000, 3_600_000, TimingBounds.DEFAULT.windowMs()));
        // why: the control plane's own failover must fit well inside the lease that it grants
        if (timing.down() + 2 * timing.goDeadline() + timing.configurationHold() > timing.configurationLease()) {
            findings.add(new Finding(
                    "/bounds/changeMs",
                    "too short beside deliverMs: a change of control master would outlast the spec lease"));
        }
        final JsonObject founding = object("founding", Set.of("groups", "copies", "storages"));
        final int copies = (int) num(founding, "/founding", "copies", 1, 7, 3L);
        final int storages = (int) num(founding, "/founding", "storages", 1, 64, (long) copies);
        if (storages < copies) {
            findings.add(new Finding("/founding/storages", storages + " machines cannot hold " + copies + " copies"));
        }
        return new Settings(
                node,
                zone,
                role,
                peers,
                http,
                seeds,
                data,
                timing,
                (int) num(file, "", "toleratedLosses", 0, 3, 1L),
                (int) num(founding, "/founding", "groups", 1, 256, 16L),
                copies,
                storages,
                num(file, "", "segmentBytes", 1 << 16, 1 << 30, 8L << 20),
                cl.hasOption("found"),
                platform(),
                file.containsKey("reachedAs") ? address("reachedAs", "") : peers);
    }

    private String platform() {
        final String v = text("platform", "");
        if (!v.isEmpty() && !v.matches("http://[^/]+:[0-9]{1,5}(/.*)?")) {
            findings.add(new Finding(place("platform"), "must be http://host:port/path"));
        }
        return v;
    }

    private Map<Integer, String> seeds() {
        final List<String> texts = new ArrayList<>();
        if (cl.hasOption("seeds")) {
            texts.addAll(List.of(cl.getOptionValue("seeds").split(",")));
        } else if (file.get("seeds") instanceof JsonArray arr) {
            arr.forEach(v -> texts.add(v instanceof JsonString s ? s.getString() : v.toString()));
        }
        final Map<Integer, String> seeds = new LinkedHashMap<>();
        for (int i = 0; i < texts.size(); i++) {
            final String at = cl.hasOption("seeds") ? "--seeds, entry " + (i + 1) : "/seeds/" + i;
            final int sep = texts.get(i).indexOf('@');
            if (sep < 1
                    || !texts.get(i).substring(0, sep).matches("[1-9][0-9]{0,5}")
                    || !isAddress(texts.get(i).substring(sep + 1))) {
                findings.add(new Finding(at, "must be node@host:port"));
            } else if (seeds.put(
                            Integer.parseInt(texts.get(i).substring(0, sep)),
                            texts.get(i).substring(sep + 1))
                    != null) {
                findings.add(new Finding(at, "the node is there twice"));
            }
        }
        if (texts.size() != 3 && texts.size() != 1) {
            findings.add(new Finding(place("seeds"), "three seeds are needed (one for a trial without failover)"));
        }
        return seeds;
    }

    private static boolean isAddress(final String text) {
        final int sep = text.lastIndexOf(':');
        return sep > 0
                && text.substring(sep + 1).matches("[0-9]{1,5}")
                && Integer.parseInt(text.substring(sep + 1)) <= 65_535;
    }

    private String address(final String field, final String absent) {
        final String v = text(field, absent);
        if (!v.isEmpty() && !isAddress(v)) {
            findings.add(new Finding(place(field), "must be host:port"));
        }
        return v;
    }

    private String text(final String field, final String absent) {
        if (cl.hasOption(field)) {
            return cl.getOptionValue(field);
        }
        final JsonValue v = file.get(field);
        if (v instanceof JsonString s && !s.getString().isEmpty()) {
            return s.getString();
        }
        if (v != null || absent == null) {
            findings.add(new Finding(place(field), v == null ? "is missing" : "must be a string that is not empty"));
        }
        return "";
    }

    private JsonObject object(final String field, final Set<String> known) {
        final JsonValue v = file.get(field);
        if (!(v instanceof JsonObject obj)) {
            if (v != null) {
                findings.add(new Finding("/" + field, "must be an object"));
            }
            return JsonValue.EMPTY_JSON_OBJECT;
        }
        obj.keySet().stream()
                .filter(k -> !known.contains(k))
                .forEach(k -> findings.add(new Finding("/" + field + "/" + k, "unknown field")));
        return obj;
    }

    private long num(
            final JsonObject obj,
            final String at,
            final String field,
            final long min,
            final long max,
            final Long absent) {
        final boolean flag = at.isEmpty() && FLAGS.contains(field) && cl.hasOption(field);
        final JsonValue v = obj.get(field);
        final String text =
                flag ? cl.getOptionValue(field) : v == null ? null : v instanceof JsonNumber ? v.toString() : "?";
        if (text == null && absent != null) {
            return absent;
        }
        if (text == null
                || !text.matches("-?[0-9]{1,18}")
                || Long.parseLong(text) < min
                || Long.parseLong(text) > max) {
            findings.add(new Finding(
                    flag ? "--" + field : at + "/" + field,
                    text == null ? "is missing" : "must be a whole number from " + min + " to " + max));
            return -1;
        }
        return Long.parseLong(text);
    }

    private String place(final String field) {
        return cl.hasOption(field) ? "--" + field : "/" + field;
    }
}
