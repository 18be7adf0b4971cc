package brookpath.trial.fleet;

import brookpath.coordination.spec.Placement;
import brookpath.coordination.spec.Spec;
import brookpath.trial.fleet.Load.Profile;
import brookpath.trial.oracle.History;
import brookpath.trial.relay.Relay;
import brookpath.trial.sim.Callers;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** {@code bin/fleet}: starts a fleet and leaves it running, or runs a scenario against it and reports. */
public final class FleetMain {
    private FleetMain() {}

    public static void main(final String[] args) throws Exception {
        final Options opts = new Options()
                .addOption(null, "fronts", true, "how many fronts (3; the brief's shape has 11)")
                .addOption(null, "folder", true, "where settings and data go (run/fleet)")
                .addOption(null, "port", true, "first HTTP port (8000)")
                .addOption(null, "profile", true, "jadran, sajha or small (small)")
                .addOption(
                        null,
                        "scenario",
                        true,
                        "none, steady, kill-master, freeze-master, rolling, all-restart, retire, day, or day-KIND with one of "
                                + List.of(FleetDay.Strike.values()) + " (none)")
                .addOption(
                        null,
                        "zone-us",
                        true,
                        "one way between zones, microseconds, through the relay (days: 500, sajha 1500)")
                .addOption(null, "seconds", true, "how long a scenario publishes (20)")
                .addOption(null, "seed", true, "for the callers (1)")
                .addOption(null, "keep", false, "keep what the folder holds; else a fresh start")
                .addOption("h", "help", false, "this text");
        final CommandLine cl;
        try {
            cl = new DefaultParser().parse(opts, args);
        } catch (final ParseException ex) {
            System.err.println("fleet: " + ex.getMessage());
            System.exit(2);
            return;
        }
        if (cl.hasOption("help")) {
            new HelpFormatter().printHelp("fleet", opts);
            return;
        }
        final List<String> wrong = new ArrayList<>();
        for (final String number : List.of("fronts", "port", "seconds", "seed", "zone-us")) {
            if (!cl.getOptionValue(number, "1").matches("[0-9]{1,6}")) {
                wrong.add("--" + number + ": must be a number");
            }
        }
        if (!List.of("jadran", "sajha", "small").contains(cl.getOptionValue("profile", "small"))) {
            wrong.add("--profile: must be jadran, sajha or small");
        }
        if (!List.of("none", "steady", "kill-master", "freeze-master", "rolling", "all-restart", "retire", "day")
                        .contains(cl.getOptionValue("scenario", "none"))
                && java.util.Arrays.stream(FleetDay.Strike.values())
                        .noneMatch(k -> cl.getOptionValue("scenario").equals("day-" + k))) {
            wrong.add("--scenario: not one of those that --help lists");
        }
        if (!wrong.isEmpty()) {
            wrong.forEach(w -> System.err.println("fleet: " + w));
            System.exit(2);
        }
        final Path folder = Path.of(cl.getOptionValue("folder", "run/fleet"));
        if (!cl.hasOption("keep") && Files.exists(folder)) {
            try (var paths = Files.walk(folder)) {
                for (final Path p :
                        paths.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
        final boolean day = cl.getOptionValue("scenario", "none").startsWith("day");
        final long oneWayUs = Long.parseLong(cl.getOptionValue(
                "zone-us", cl.getOptionValue("profile", "small").equals("sajha") ? "1500" : "500"));
        // why: the zones of the two ends tell the delay; callers are in the zone of their front
        final Relay relay = day || cl.hasOption("zone-us")
                ? new Relay((a, b) -> a <= 0 || Fleet.zoneOf((int) a).equals(Fleet.zoneOf((int) b)) ? 0 : oneWayUs)
                : null;
        final FleetDay.Platform platform = day ? new FleetDay.Platform() : null;
        final Fleet fleet = new Fleet(
                folder,
                Integer.parseInt(cl.getOptionValue("port", "8000")),
                Integer.parseInt(cl.getOptionValue("fronts", "3")),
                relay,
                platform == null ? "" : platform.url());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                fleet.close();
            } catch (final InterruptedException ex) {
                Thread.currentThread().interrupt();
            }
        }));
        final long t0 = System.nanoTime();
        fleet.start();
        if (!fleet.awaitReady(60_000)) {
            System.err.println("fleet: not ready after a minute; see " + folder + "/out-*.txt");
            System.exit(1);
        }
        System.out.println("fleet: ready after " + (System.nanoTime() - t0) / 1_000_000 + " ms; bailiffs on "
                + fleet.units().get(1).url("") + " and the next two, fronts from "
                + fleet.fronts().get(0).url(""));
        final String scenario = cl.getOptionValue("scenario", "none");
        if (scenario.equals("none")) {
            Thread.currentThread().join();
        }
        final Profile profile = switch (cl.getOptionValue("profile", "small")) {
            case "jadran" -> Profile.JADRAN;
            case "sajha" -> Profile.SAJHA;
            default -> Profile.SMALL;
        };
        final boolean good = scenario(
                fleet,
                relay,
                platform,
                profile,
                scenario,
                Integer.parseInt(cl.getOptionValue("seconds", "20")) * 1000L,
                Long.parseLong(cl.getOptionValue("seed", "1")));
        System.exit(good ? 0 : 1);
    }

    private static boolean scenario(
            final Fleet fleet,
            final Relay relay,
            final FleetDay.Platform platform,
            final Profile profile,
            final String scenario,
            final long ms,
            final long seed)
            throws Exception {
        final var change = fleet.post(fleet.units().get(2), "/v1/changes", profile.document(0, "fleet-first"));
        System.out.println(
                "change: " + change.statusCode() + " " + change.body().strip());
        try (Load load = new Load(fleet, profile, seed)) {
            Thread.sleep(500);
            load.subscribe();
            for (int i = 0; i < 300 && load.listening() < profile.sessions(); i++) {
                Thread.sleep(100);
            }
            System.out.println("listening: " + load.listening() + " of " + profile.sessions());
            load.publish();
            Thread.sleep(4_000);
            load.measureFromHere();
            if (scenario.startsWith("day")) {
                try (FleetDay day = new FleetDay(fleet, load, profile, relay, platform, seed)) {
                    day.live(
                            ms,
                            scenario.equals("day")
                                    ? List.of(FleetDay.Strike.values())
                                    : List.of(FleetDay.Strike.valueOf(scenario.substring(4))));
                }
            } else {
                Thread.sleep(ms / 2);
                strike(fleet, load, scenario);
                Thread.sleep(ms / 2);
            }
            if (relay != null) {
                zoneBytes(fleet, relay, load);
            }
            final History history = load.settle();
            if (platform != null) {
                // why: the window of the last message ends, and its report has its time
                Thread.sleep(21_000);
                load.settleUsage();
                platform.close();
            }
            System.out.println(load.report());
            history.violations().forEach(v -> System.out.println("VIOLATION " + v));
            // why: a run in which nothing was done proves nothing
            final boolean worked = history.accepted() > ms / 1000.0 * profile.perSecond() / 2
                    && history.delivered() > history.accepted();
            System.out.println("fleet: " + scenario
                    + (history.violations().isEmpty() && worked ? " good" : worked ? " BAD" : " DID TOO LITTLE"));
            return history.violations().isEmpty() && worked;
        }
    }

    private static void zoneBytes(final Fleet fleet, final Relay relay, final Load load) {
        long all = 0;
        final TreeMap<String, Long> pairs = new TreeMap<>();
        for (final int a : fleet.units().keySet()) {
            for (final int b : fleet.units().keySet()) {
                if (!Fleet.zoneOf(a).equals(Fleet.zoneOf(b)) && relay.bytes(a, b) > 0) {
                    pairs.merge(Fleet.zoneOf(a) + ">" + Fleet.zoneOf(b), relay.bytes(a, b), Long::sum);
                    all += relay.bytes(a, b);
                }
            }
        }
        System.out.println(
                "between zones: " + all + " bytes, " + all * 1_000 / Math.max(1, load.clock()) + " a second; " + pairs);
    }

    private static void strike(final Fleet fleet, final Load load, final String scenario) throws Exception {
        switch (scenario) {
            case "kill-master" -> {
                final Fleet.Unit victim = busiest(fleet);
                final TreeSet<Integer> groups = mastered(fleet, victim);
                final long at = load.clock();
                victim.kill();
                awaitActing(fleet, load, at, groups);
                Thread.sleep(4_000);
                gaps(load, at, groups, "killed");
                victim.start(false);
            }
            case "freeze-master" -> {
                final Fleet.Unit victim = busiest(fleet);
                final TreeSet<Integer> groups = mastered(fleet, victim);
                final long at = load.clock();
                victim.signal("STOP");
                Thread.sleep(4_000);
                victim.signal("CONT");
                gaps(load, at, groups, "frozen");
            }
            case "retire" -> {
                final Fleet.Unit leaving = busiest(fleet);
                final long at = load.clock();
                System.out.println("retire node " + leaving.node + ": "
                        + fleet.post(fleet.units().get(1), "/v1/storages/" + leaving.node + "/retire", "")
                                .body()
                                .strip());
                while (!fleet.get(leaving, "/v1/status").contains("\"groups\":[]") && load.clock() < at + 60_000) {
                    Thread.sleep(50);
                }
                System.out.println("retire node " + leaving.node + ": empty after " + (load.clock() - at) + " ms");
                leaving.kill();
            }
            case "rolling" -> {
                for (final Fleet.Unit u : fleet.units().values()) {
                    u.stop();
                    u.start(false);
                    Thread.sleep(4_000);
                }
            }
            case "all-restart" -> {
                for (final Fleet.Unit u : fleet.units().values()) {
                    u.kill();
                }
                final long at = load.clock();
                for (final Fleet.Unit u : fleet.units().values()) {
                    u.start(false);
                }
                Thread.sleep(15_000);
                gaps(
                        load,
                        at,
                        new TreeSet<>(List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15)),
                        "all restarted");
            }
            default -> {
                // why: steady means that nothing happens
            }
        }
    }

    /** Polls the members until each of the groups has an acting master again; says when, and why. */
    private static void awaitActing(final Fleet fleet, final Load load, final long at, final TreeSet<Integer> groups)
            throws InterruptedException {
        final TreeMap<Integer, String> acting = new TreeMap<>();
        while (acting.size() < groups.size() && load.clock() < at + 12_000) {
            for (final Fleet.Unit u : fleet.storages()) {
                final String status = u.alive() ? fleet.get(u, "/v1/status") : "";
                if (status.isEmpty()) {
                    continue;
                }
                try (var rd = Json.createReader(new StringReader(status))) {
                    for (final JsonValue v : rd.readObject().getJsonArray("groups")) {
                        final JsonObject g = v.asJsonObject();
                        if (g.getBoolean("mayAct") && groups.contains(g.getInt("group"))) {
                            acting.putIfAbsent(
                                    g.getInt("group"),
                                    (load.clock() - at) + " ms: node " + u.node + " " + g.getString("why"));
                        }
                    }
                }
            }
            Thread.sleep(10);
        }
        acting.forEach((g, what) -> System.out.println("group " + g + " acts again after " + what));
    }

    private static void gaps(final Load load, final long at, final TreeSet<Integer> groups, final String what) {
        final List<Long> gaps = new ArrayList<>();
        for (final int g : groups) {
            gaps.add(load.gapAfter(at, topic -> {
                final Spec.Space space = new Spec.Space(Callers.spaceOf(topic), 0, topic.startsWith("clues/"), 2);
                return Placement.groupOf(topic, space, 16) == g;
            }));
        }
        System.out.println(what + ": groups " + groups + ", ms until each accepted again " + gaps);
    }

    private static Fleet.Unit busiest(final Fleet fleet) throws InterruptedException {
        Fleet.Unit best = null;
        int most = -1;
        for (final Fleet.Unit u : fleet.storages()) {
            final int n = mastered(fleet, u).size();
            if (n > most) {
                most = n;
                best = u;
            }
        }
        return best;
    }

    private static TreeSet<Integer> mastered(final Fleet fleet, final Fleet.Unit unit) throws InterruptedException {
        final TreeSet<Integer> groups = new TreeSet<>();
        try (var rd = Json.createReader(new StringReader(fleet.get(unit, "/v1/status")))) {
            for (final JsonValue v : rd.readObject().getJsonArray("groups")) {
                final JsonObject g = v.asJsonObject();
                if (g.getString("role").equals("master")) {
                    groups.add(g.getInt("group"));
                }
            }
        }
        return groups;
    }
}
