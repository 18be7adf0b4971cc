package brookpath.programs.settings;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.Finding;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.programs.Program;
import brookpath.programs.Role;
import jakarta.json.Json;
import jakarta.json.JsonConfig;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonReaderFactory;
import jakarta.json.JsonValue;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;

/** Reads the flags and the settings file of a process, and collects a finding for each error in them. */
public final class SettingsReader {
    private static final String FLAGS_PLACE = "flags";
    private static final Set<Integer> SEED_COUNTS = Set.of(1, 3);
    private static final JsonReaderFactory JSON =
            Json.createReaderFactory(Map.of(JsonConfig.KEY_STRATEGY, JsonConfig.KeyStrategy.NONE));

    /**
     * The result of reading the flags and the file.
     *
     * @param settings valid if there are no findings; null if help was requested or the flags cannot be parsed
     * @param findings the errors
     * @param warnings deprecated names and values in use, which the next release removes
     * @param helpOnly whether only the help text was requested
     * @param checkOnly whether only a check of the settings was requested
     */
    public record Reading(
            Settings settings, List<Finding> findings, List<Finding> warnings, boolean helpOnly, boolean checkOnly) {
        static Reading failed(final String place, final String reason) {
            return new Reading(null, List.of(new Finding(place, reason)), List.of(), false, false);
        }
    }

    private final Program program;
    private final CommandLine flags;
    private final SettingsSource source;

    private SettingsReader(final Program program, final CommandLine flags, final SettingsSource source) {
        this.program = program;
        this.flags = flags;
        this.source = source;
    }

    /** Reads a program's arguments and the settings file that they name. */
    public static Reading read(final String[] args, final Program program) {
        try {
            final CommandLine flags = parse(args, program);
            return flags.hasOption(SettingsFlags.SETTINGS) && !flags.hasOption(SettingsFlags.HELP)
                    ? readFile(flags, program, Path.of(flags.getOptionValue(SettingsFlags.SETTINGS)))
                    : read(flags, program, JsonValue.EMPTY_JSON_OBJECT, List.of());
        } catch (final ParseException ex) {
            return Reading.failed(FLAGS_PLACE, ex.getMessage());
        }
    }

    /**
     * Reads a program's arguments with a given content of the settings file.
     *
     * @param content the content of the settings file when it was last read
     */
    static Reading read(final String[] args, final Program program, final byte[] content) {
        try {
            final CommandLine flags = parse(args, program);
            return readContent(flags, program, flags.getOptionValue(SettingsFlags.SETTINGS), content);
        } catch (final ParseException ex) {
            return Reading.failed(FLAGS_PLACE, ex.getMessage());
        }
    }

    /** The settings file that the arguments name; null for none. */
    static Path file(final String[] args, final Program program) {
        try {
            final String name = parse(args, program).getOptionValue(SettingsFlags.SETTINGS);
            return name == null ? null : Path.of(name);
        } catch (final ParseException ex) {
            return null;
        }
    }

    private static CommandLine parse(final String[] args, final Program program) throws ParseException {
        return new DefaultParser().parse(SettingsFlags.of(program), args);
    }

    private static Reading readFile(final CommandLine flags, final Program program, final Path file) {
        final byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (final IOException ex) {
            final Finding finding = new Finding(file.toString(), "cannot be read: " + ex.getMessage());
            return read(flags, program, JsonValue.EMPTY_JSON_OBJECT, List.of(finding));
        }
        return readContent(flags, program, file.toString(), content);
    }

    private static Reading readContent(
            final CommandLine flags, final Program program, final String file, final byte[] content) {
        try (JsonReader reader = JSON.createReader(new ByteArrayInputStream(content))) {
            return read(flags, program, reader.readObject(), List.of());
        } catch (final JsonException | IllegalStateException ex) {
            final Finding finding = new Finding(file, "not a JSON object: " + ex.getMessage());
            return read(flags, program, JsonValue.EMPTY_JSON_OBJECT, List.of(finding));
        }
    }

    private static Reading read(
            final CommandLine flags, final Program program, final JsonObject file, final List<Finding> findings) {
        final SettingsSource source = new SettingsSource(flags, file);
        final boolean helpOnly = flags.hasOption(SettingsFlags.HELP);
        source.findings().addAll(findings);
        final Settings settings = helpOnly ? null : new SettingsReader(program, flags, source).settings();
        return new Reading(
                settings, source.findings(), source.warnings(), helpOnly, flags.hasOption(SettingsFlags.CHECK));
    }

    private Settings settings() {
        flags.getArgList().forEach(arg -> source.rejectAt(FLAGS_PLACE, "unexpected \"" + arg + "\""));
        source.rejectUnknownKeys(knownKeys());
        final int node = (int) source.number(SettingsKeys.NODE);
        final String zone = source.requiredText(SettingsKeys.ZONE);
        final Role role = role();
        final boolean gateway = role == Role.GATEWAY;
        final String peerAddress =
                gateway ? source.optionalAddress(SettingsKeys.PEERS) : source.requiredAddress(SettingsKeys.PEERS);
        final String advertisedPeerAddress = source.optionalAddress(SettingsKeys.REACHED_AS);
        return new Settings(
                node,
                zone,
                role,
                peerAddress,
                advertisedPeerAddress.isEmpty() ? peerAddress : advertisedPeerAddress,
                source.requiredAddress(SettingsKeys.HTTP),
                seeds(node),
                gateway ? source.optionalText(SettingsKeys.DATA) : source.requiredText(SettingsKeys.DATA),
                timing(),
                founding(),
                source.number(SettingsKeys.SEGMENT_BYTES),
                flags.hasOption(SettingsFlags.FOUND),
                platformUrl());
    }

    private Set<String> knownKeys() {
        final Set<String> keys = new HashSet<>(SettingsKeys.KEYS);
        if (program == Program.CONTROLLER) {
            keys.addAll(SettingsKeys.CONTROLLER_KEYS);
        }
        return keys;
    }

    /** The role; if it is invalid, that of a storage node, so that the rest is checked by the stricter rules. */
    private Role role() {
        if (program == Program.CONTROLLER) {
            return Role.CONTROLLER;
        }
        final String name = source.replaceDeprecatedValue(
                SettingsKeys.ROLE, source.requiredText(SettingsKeys.ROLE), SettingsKeys.DEPRECATED_ROLES);
        if (name.equals(SettingsKeys.ROLE_GATEWAY)) {
            return Role.GATEWAY;
        }
        if (!name.isEmpty() && !name.equals(SettingsKeys.ROLE_STORAGE)) {
            source.reject(
                    SettingsKeys.ROLE,
                    "must be \"" + SettingsKeys.ROLE_GATEWAY + "\" or \"" + SettingsKeys.ROLE_STORAGE + "\"");
        }
        return Role.STORAGE;
    }

    private Map<Integer, String> seeds(final int node) {
        final List<String> entries = source.list(SettingsKeys.SEEDS);
        final Map<Integer, String> seeds = new LinkedHashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            addSeed(entries.get(i), source.placeOfEntry(SettingsKeys.SEEDS, i), seeds);
        }
        if (!SEED_COUNTS.contains(entries.size())) {
            source.reject(SettingsKeys.SEEDS, "must be three seeds (or one for a trial without failover)");
        }
        if (program == Program.CONTROLLER && node > 0 && !seeds.isEmpty() && !seeds.containsKey(node)) {
            source.reject(SettingsKeys.SEEDS, "a controller must be among the seeds; node " + node + " is not");
        }
        if (program != Program.CONTROLLER && seeds.containsKey(node)) {
            source.reject(SettingsKeys.NODE.key(), "node " + node + " is one of the seeds");
        }
        return seeds;
    }

    /** Adds a seed of the form node@host:port. */
    private void addSeed(final String entry, final String place, final Map<Integer, String> seeds) {
        final int separator = entry.indexOf('@');
        if (separator < 1
                || !entry.substring(0, separator).matches("[1-9][0-9]{0,5}")
                || !Address.isValid(entry.substring(separator + 1))) {
            source.rejectAt(place, "must be node@host:port");
            return;
        }
        final int node = Integer.parseInt(entry.substring(0, separator));
        if (seeds.put(node, entry.substring(separator + 1)) != null) {
            source.rejectAt(place, "the node is listed twice");
        }
    }

    private TimingBounds timing() {
        final JsonObject bounds = source.section(SettingsKeys.BOUNDS, SettingsKeys.BOUNDS_KEYS);
        final TimingBounds timing = new TimingBounds(
                source.number(SettingsKeys.DELIVER_MS, bounds),
                source.number(SettingsKeys.RECOVER_MS, bounds),
                source.number(SettingsKeys.CHANGE_MS, bounds),
                source.number(SettingsKeys.WINDOW_MS, bounds));
        // The failover of the control plane itself must fit into the configuration lease that it grants.
        final long failoverMs = timing.detectionTime() + 2 * timing.voteDeadline() + timing.configurationHold();
        if (failoverMs > timing.configurationLease()) {
            source.rejectAt(
                    SettingsKeys.CHANGE_MS.place(),
                    "too short for deliverMs: a failover of the control leader would outlast the configuration lease");
        }
        return timing;
    }

    private GroupBootstrap founding() {
        final JsonObject founding = source.section(SettingsKeys.FOUNDING, SettingsKeys.FOUNDING_KEYS);
        final int groups = (int) source.number(SettingsKeys.GROUPS, founding);
        final int replicas = (int) source.number(SettingsKeys.REPLICAS, founding);
        final NumberSetting storageNodesSetting = SettingsKeys.storageNodes(replicas);
        final int storageNodes = (int) source.number(storageNodesSetting, founding);
        if (storageNodes < replicas) {
            source.rejectAt(
                    storageNodesSetting.place(), storageNodes + " storage nodes cannot hold " + replicas + " replicas");
        }
        return new GroupBootstrap(groups, replicas, storageNodes, (int) source.number(SettingsKeys.TOLERATED_LOSSES));
    }

    private String platformUrl() {
        final String url = source.optionalText(SettingsKeys.PLATFORM);
        if (!url.isEmpty() && !url.matches("http://[^/]+:[0-9]{1,5}(/.*)?")) {
            source.reject(SettingsKeys.PLATFORM, "must be http://host:port/path");
        }
        return url;
    }
}
