package brookpath.testing.fleet;

import brookpath.testing.oracle.History;
import brookpath.testing.relay.Relay;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** {@code bin/fleet}: starts a fleet and leaves it running, or runs a scenario against it and prints the result. */
public final class FleetMain {
    private static final int FAILED = 1;
    private static final int WRONG_ARGUMENTS = 2;
    private static final long READY_TIMEOUT_MS = 60_000;
    private static final long FIRST_CHANGE_MS = 500;
    private static final int LISTENING_POLLS = 300;
    private static final long LISTENING_POLL_MS = 100;
    private static final long WARM_UP_MS = 4_000;

    /** Until the usage window of the last message has ended and its report is due. */
    private static final long FINAL_USAGE_REPORT_MS = 21_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final FleetOptions options;
    private final Relay relay;
    private final UsagePlatform platform;
    private final Fleet fleet;

    private FleetMain(final FleetOptions options) throws IOException, InterruptedException {
        this.options = options;
        relay = options.hasRelay() ? new Relay((from, to) -> delayUs(from, to, options.zoneUs())) : null;
        platform = options.isDay() ? new UsagePlatform() : null;
        final String platformUrl = platform == null ? "" : platform.url();
        fleet = new Fleet(options.folder(), options.port(), options.gateways(), relay, platformUrl);
    }

    /** The one-way delay between two nodes: none within a zone; callers are in the zone of their gateway. */
    private static long delayUs(final long from, final long to, final long zoneUs) {
        if (from <= 0 || Fleet.zoneOf((int) from).equals(Fleet.zoneOf((int) to))) {
            return 0;
        }
        return zoneUs;
    }

    /** Exits with 0 if the scenario passed, 1 if it failed, 2 for wrong arguments. */
    public static void main(final String[] args) throws Exception {
        final Options supported = FleetOptions.options();
        final CommandLine line;
        try {
            line = new DefaultParser().parse(supported, args);
        } catch (final ParseException ex) {
            exitWithUsageError(List.of(ex.getMessage()));
            return;
        }
        if (line.hasOption("help")) {
            new HelpFormatter().printHelp("fleet", supported);
            return;
        }
        final List<String> findings = FleetOptions.findings(line);
        if (!findings.isEmpty()) {
            exitWithUsageError(findings);
            return;
        }
        final FleetOptions options = FleetOptions.of(line);
        if (!options.keep()) {
            deleteRecursively(options.folder());
        }
        new FleetMain(options).run();
    }

    private static void exitWithUsageError(final List<String> findings) {
        findings.forEach(finding -> System.err.println("fleet: " + finding));
        System.exit(WRONG_ARGUMENTS);
    }

    private static void deleteRecursively(final Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (var paths = Files.walk(folder)) {
            for (final Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private void run() throws Exception {
        Runtime.getRuntime().addShutdownHook(new Thread(this::closeFleet));
        final long startedAt = System.nanoTime();
        fleet.start();
        if (!fleet.awaitReady(READY_TIMEOUT_MS)) {
            System.err.println("fleet: not ready after a minute; see " + options.folder() + "/out-*.txt");
            System.exit(FAILED);
        }
        System.out.println("fleet: ready after " + (System.nanoTime() - startedAt) / NANOS_PER_MILLI
                + " ms; controllers at " + fleet.processes().get(1).url("") + " and the next two, gateways from "
                + fleet.gateways().get(0).url(""));
        if (!options.hasScenario()) {
            Thread.currentThread().join();
        }
        System.exit(runScenario() ? 0 : FAILED);
    }

    private void closeFleet() {
        try {
            fleet.close();
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean runScenario() throws Exception {
        final LoadProfile profile = options.profile();
        final String document = profile.document(0, "fleet-first");
        final HttpResponse<String> change = fleet.post(fleet.processes().get(2), "/v1/changes", document);
        System.out.println(
                "change: " + change.statusCode() + " " + change.body().strip());
        try (CallerLoad load = new CallerLoad(fleet, profile, options.seed())) {
            Thread.sleep(FIRST_CHANGE_MS);
            warmUp(load);
            if (options.isDay()) {
                try (FleetDay day = new FleetDay(fleet, load, profile, relay, platform, options.seed())) {
                    day.run(options.durationMs(), options.faults());
                }
            } else {
                Thread.sleep(options.durationMs() / 2);
                new FleetScenario(fleet, load).run(options.scenario());
                Thread.sleep(options.durationMs() / 2);
            }
            if (relay != null) {
                printBytesBetweenZones(load);
            }
            return verify(load);
        }
    }

    private void warmUp(final CallerLoad load) throws InterruptedException {
        final int sessions = options.profile().sessions();
        load.subscribe();
        for (int i = 0; i < LISTENING_POLLS && load.listening() < sessions; i++) {
            Thread.sleep(LISTENING_POLL_MS);
        }
        System.out.println("listening: " + load.listening() + " of " + sessions);
        load.publish();
        Thread.sleep(WARM_UP_MS);
        load.startMeasuring();
    }

    private boolean verify(final CallerLoad load) throws InterruptedException {
        final History history = load.settle();
        if (platform != null) {
            Thread.sleep(FINAL_USAGE_REPORT_MS);
            load.settleUsage();
            platform.close();
        }
        System.out.println(load.report());
        history.violations().forEach(violation -> System.out.println("VIOLATION " + violation));
        // a run with too few messages proves nothing
        final double published =
                options.durationMs() / MILLIS_PER_SECOND * options.profile().perSecond();
        final boolean isLoadSufficient =
                history.committed() > published / 2 && history.delivered() > history.committed();
        final boolean isSafe = history.violations().isEmpty();
        System.out.println("fleet: " + options.scenario() + verdict(isSafe, isLoadSufficient));
        return isSafe && isLoadSufficient;
    }

    private static String verdict(final boolean isSafe, final boolean isLoadSufficient) {
        if (!isLoadSufficient) {
            return " FAILED: too few messages committed or delivered";
        }
        return isSafe ? " passed" : " FAILED: violations";
    }

    private void printBytesBetweenZones(final CallerLoad load) {
        long total = 0;
        final TreeMap<String, Long> pairs = new TreeMap<>();
        for (final int from : fleet.processes().keySet()) {
            for (final int to : fleet.processes().keySet()) {
                final long bytes = relay.bytes(from, to);
                if (!Fleet.zoneOf(from).equals(Fleet.zoneOf(to)) && bytes > 0) {
                    pairs.merge(Fleet.zoneOf(from) + ">" + Fleet.zoneOf(to), bytes, Long::sum);
                    total += bytes;
                }
            }
        }
        final long perSecond = total * 1_000 / Math.max(1, load.clock());
        System.out.println("between zones: " + total + " bytes, " + perSecond + " bytes/s; " + pairs);
    }
}
