package brookpath.testing.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * The command-line options of {@code bin/fleet}.
 *
 * @param zoneUs one-way delay between zones in microseconds; -1 to run without a relay
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
    private static final String SINGLE_FAULT_DAY_PREFIX = "day-";
    private static final List<String> SCENARIOS =
            List.of(NO_SCENARIO, "steady", "kill-master", "freeze-master", "rolling", "all-restart", "retire", DAY);
    private static final List<String> PROFILES = List.of("jadran", "sajha", "small");
    private static final long NO_RELAY = -1;
    private static final long MILLIS_PER_SECOND = 1_000;

    static Options options() {
        return new Options()
                .addOption(null, "fronts", true, "number of gateways (3; the required full size is 11)")
                .addOption(null, "folder", true, "folder for settings and data (run/fleet)")
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
                        "one-way delay between zones in microseconds, added by the relay (days: 500, sajha 1500)")
                .addOption(null, "seconds", true, "duration of a scenario in seconds (20)")
                .addOption(null, "seed", true, "random seed of the simulated callers (1)")
                .addOption(null, "keep", false, "keep the data in the folder; otherwise it is deleted first")
                .addOption("h", "help", false, "print this help");
    }

    /** Every error in the command line. */
    static List<String> findings(final CommandLine line) {
        final List<String> findings = new ArrayList<>();
        for (final String number : List.of("fronts", "port", "seconds", "seed", "zone-us")) {
            if (!line.getOptionValue(number, "1").matches("[0-9]{1,6}")) {
                findings.add("--" + number + ": must be a number of at most six digits");
            }
        }
        if (!PROFILES.contains(line.getOptionValue("profile", "small"))) {
            findings.add("--profile: must be jadran, sajha or small");
        }
        if (!isScenario(line.getOptionValue("scenario", NO_SCENARIO))) {
            findings.add("--scenario: unknown scenario, see --help");
        }
        return findings;
    }

    private static boolean isScenario(final String name) {
        return SCENARIOS.contains(name)
                || Arrays.stream(FleetDay.FleetFault.values())
                        .anyMatch(kind -> name.equals(SINGLE_FAULT_DAY_PREFIX + kind));
    }

    /** The options of a command line that has no findings. */
    static FleetOptions of(final CommandLine line) {
        final String profile = line.getOptionValue("profile", "small");
        final String scenario = line.getOptionValue("scenario", NO_SCENARIO);
        final boolean usesRelay = line.hasOption("zone-us") || scenario.startsWith(DAY);
        final String defaultZoneUs = profile.equals("sajha") ? "1500" : "500";
        return new FleetOptions(
                Path.of(line.getOptionValue("folder", "run/fleet")),
                line.hasOption("keep"),
                Integer.parseInt(line.getOptionValue("port", "8000")),
                Integer.parseInt(line.getOptionValue("fronts", "3")),
                LoadProfile.named(profile),
                scenario,
                usesRelay ? Long.parseLong(line.getOptionValue("zone-us", defaultZoneUs)) : NO_RELAY,
                Integer.parseInt(line.getOptionValue("seconds", "20")) * MILLIS_PER_SECOND,
                Long.parseLong(line.getOptionValue("seed", "1")));
    }

    boolean hasRelay() {
        return zoneUs != NO_RELAY;
    }

    boolean hasScenario() {
        return !scenario.equals(NO_SCENARIO);
    }

    /** Whether the scenario is a day: random faults with concurrent operators. */
    boolean isDay() {
        return scenario.startsWith(DAY);
    }

    /** The kinds of fault of a day. */
    List<FleetDay.FleetFault> faults() {
        if (scenario.equals(DAY)) {
            return List.of(FleetDay.FleetFault.values());
        }
        return List.of(FleetDay.FleetFault.valueOf(scenario.substring(SINGLE_FAULT_DAY_PREFIX.length())));
    }
}
