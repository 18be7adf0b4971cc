package brookpath.testing.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * What {@code bin/fleet} is to do, as its command line says.
 *
 * @param zoneUs one way between zones, in microseconds; -1 for no relay
 */
record FleetOptions(
        Path folder,
        boolean keep,
        int port,
        int gateways,
        LoadProfile profile,
        String scenario,
        long zoneUs,
        long durationMs,
        long seed) {
    static final String NO_SCENARIO = "none";
    private static final String DAY = "day";
    private static final String DAY_OF_ONE_KIND = "day-";
    private static final List<String> SCENARIOS =
            List.of(NO_SCENARIO, "steady", "kill-master", "freeze-master", "rolling", "all-restart", "retire", DAY);
    private static final List<String> PROFILES = List.of("jadran", "sajha", "small");
    private static final long NO_RELAY = -1;
    private static final long MILLIS_PER_SECOND = 1_000;

    static Options options() {
        return new Options()
                .addOption(null, "fronts", true, "how many fronts (3; the brief's shape has 11)")
                .addOption(null, "folder", true, "where settings and data go (run/fleet)")
                .addOption(null, "port", true, "first HTTP port (8000)")
                .addOption(null, "profile", true, "jadran, sajha or small (small)")
                .addOption(
                        null,
                        "scenario",
                        true,
                        "none, steady, kill-master, freeze-master, rolling, all-restart, retire, day, or day-KIND with one of "
                                + List.of(FleetDay.FleetFault.values()) + " (none)")
                .addOption(
                        null,
                        "zone-us",
                        true,
                        "one way between zones, microseconds, through the relay (days: 500, sajha 1500)")
                .addOption(null, "seconds", true, "how long a scenario publishes (20)")
                .addOption(null, "seed", true, "for the callers (1)")
                .addOption(null, "keep", false, "keep what the folder holds; else a fresh start")
                .addOption("h", "help", false, "this text");
    }

    /** All that is wrong with a command line. */
    static List<String> findings(final CommandLine line) {
        final List<String> findings = new ArrayList<>();
        for (final String number : List.of("fronts", "port", "seconds", "seed", "zone-us")) {
            if (!line.getOptionValue(number, "1").matches("[0-9]{1,6}")) {
                findings.add("--" + number + ": must be a number");
            }
        }
        if (!PROFILES.contains(line.getOptionValue("profile", "small"))) {
            findings.add("--profile: must be jadran, sajha or small");
        }
        if (!isScenario(line.getOptionValue("scenario", NO_SCENARIO))) {
            findings.add("--scenario: not one of those that --help lists");
        }
        return findings;
    }

    private static boolean isScenario(final String name) {
        return SCENARIOS.contains(name)
                || Arrays.stream(FleetDay.FleetFault.values()).anyMatch(kind -> name.equals(DAY_OF_ONE_KIND + kind));
    }

    /** A command line without findings. */
    static FleetOptions of(final CommandLine line) {
        final String profile = line.getOptionValue("profile", "small");
        final String scenario = line.getOptionValue("scenario", NO_SCENARIO);
        final boolean relayed = line.hasOption("zone-us") || scenario.startsWith(DAY);
        final String defaultZoneUs = profile.equals("sajha") ? "1500" : "500";
        return new FleetOptions(
                Path.of(line.getOptionValue("folder", "run/fleet")),
                line.hasOption("keep"),
                Integer.parseInt(line.getOptionValue("port", "8000")),
                Integer.parseInt(line.getOptionValue("fronts", "3")),
                LoadProfile.named(profile),
                scenario,
                relayed ? Long.parseLong(line.getOptionValue("zone-us", defaultZoneUs)) : NO_RELAY,
                Integer.parseInt(line.getOptionValue("seconds", "20")) * MILLIS_PER_SECOND,
                Long.parseLong(line.getOptionValue("seed", "1")));
    }

    boolean hasRelay() {
        return zoneUs != NO_RELAY;
    }

    boolean hasScenario() {
        return !scenario.equals(NO_SCENARIO);
    }

    /** Whether the scenario is a whole day with failures and operators. */
    boolean isDay() {
        return scenario.startsWith(DAY);
    }

    /** The kinds of failure of a day. */
    List<FleetDay.FleetFault> strikes() {
        if (scenario.equals(DAY)) {
            return List.of(FleetDay.FleetFault.values());
        }
        return List.of(FleetDay.FleetFault.valueOf(scenario.substring(DAY_OF_ONE_KIND.length())));
    }
}
