package brookpath.testing.fleet;

import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.placement.Placement;
import brookpath.testing.sim.Callers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** One failure, or one operator's action, on a fleet under load, and how long it was felt. */
final class FleetScenario {
    private static final int GROUPS = 16;
    private static final long OBSERVED_MS = 4_000;
    private static final long ALL_RESTARTED_MS = 15_000;
    private static final long RETIRE_TIMEOUT_MS = 60_000;
    private static final long ACTING_TIMEOUT_MS = 12_000;
    private static final long ACTING_POLL_MS = 10;
    private static final long RETIRE_POLL_MS = 50;

    private final Fleet fleet;
    private final Load load;

    FleetScenario(final Fleet fleet, final Load load) {
        this.fleet = fleet;
        this.load = load;
    }

    /** Any other name is a steady run, in which nothing happens. */
    void run(final String name) throws IOException, InterruptedException {
        switch (name) {
            case "kill-master" -> killLeader();
            case "freeze-master" -> freezeLeader();
            case "retire" -> retire();
            case "rolling" -> restartOneByOne();
            case "all-restart" -> restartAll();
            default -> {
                // steady
            }
        }
    }

    private void killLeader() throws IOException, InterruptedException {
        final Fleet.Unit victim = busiest();
        final Set<Integer> groups = mastered(victim);
        final long at = load.clock();
        victim.kill();
        awaitActing(at, groups);
        Thread.sleep(OBSERVED_MS);
        printGaps(at, groups, "killed");
        victim.start(false);
    }

    private void freezeLeader() throws IOException, InterruptedException {
        final Fleet.Unit victim = busiest();
        final Set<Integer> groups = mastered(victim);
        final long at = load.clock();
        victim.signal("STOP");
        Thread.sleep(OBSERVED_MS);
        victim.signal("CONT");
        printGaps(at, groups, "frozen");
    }

    private void retire() throws IOException, InterruptedException {
        final Fleet.Unit leaving = busiest();
        final long at = load.clock();
        final String path = "/v1/storages/" + leaving.node + "/retire";
        final String response = fleet.post(fleet.units().get(1), path, "").body();
        System.out.println("retire node " + leaving.node + ": " + response.strip());
        while (!fleet.get(leaving, "/v1/status").contains("\"groups\":[]") && load.clock() < at + RETIRE_TIMEOUT_MS) {
            Thread.sleep(RETIRE_POLL_MS);
        }
        System.out.println("retire node " + leaving.node + ": empty after " + (load.clock() - at) + " ms");
        leaving.kill();
    }

    private void restartOneByOne() throws IOException, InterruptedException {
        for (final Fleet.Unit unit : fleet.units().values()) {
            unit.stop();
            unit.start(false);
            Thread.sleep(OBSERVED_MS);
        }
    }

    private void restartAll() throws IOException, InterruptedException {
        for (final Fleet.Unit unit : fleet.units().values()) {
            unit.kill();
        }
        final long at = load.clock();
        for (final Fleet.Unit unit : fleet.units().values()) {
            unit.start(false);
        }
        Thread.sleep(ALL_RESTARTED_MS);
        final Set<Integer> groups = IntStream.range(0, GROUPS).boxed().collect(Collectors.toCollection(TreeSet::new));
        printGaps(at, groups, "all restarted");
    }

    /** Polls the members until each of the groups has an acting leader again; says when, and why. */
    private void awaitActing(final long at, final Set<Integer> groups) throws InterruptedException {
        final TreeMap<Integer, String> acting = new TreeMap<>();
        while (acting.size() < groups.size() && load.clock() < at + ACTING_TIMEOUT_MS) {
            for (final Fleet.Unit unit : fleet.storages()) {
                for (final GroupView view : groupsOf(unit)) {
                    if (view.mayAct() && groups.contains(view.group())) {
                        final long after = load.clock() - at;
                        acting.putIfAbsent(view.group(), after + " ms: node " + unit.node + " " + view.why());
                    }
                }
            }
            Thread.sleep(ACTING_POLL_MS);
        }
        acting.forEach((group, what) -> System.out.println("group " + group + " acts again after " + what));
    }

    private void printGaps(final long at, final Set<Integer> groups, final String what) {
        final List<Long> gaps = new ArrayList<>();
        for (final int group : groups) {
            gaps.add(load.gapAfter(at, topic -> groupOf(topic) == group));
        }
        System.out.println(what + ": groups " + groups + ", ms until each accepted again " + gaps);
    }

    private static int groupOf(final String topic) {
        final Configuration.Space space =
                new Configuration.Space(Callers.spaceOf(topic), 0, topic.startsWith("clues/"), 2);
        return Placement.groupOf(topic, space, GROUPS);
    }

    /** The storage machine that leaders most groups. */
    private Fleet.Unit busiest() throws InterruptedException {
        Fleet.Unit best = null;
        int most = -1;
        for (final Fleet.Unit unit : fleet.storages()) {
            final int count = mastered(unit).size();
            if (count > most) {
                most = count;
                best = unit;
            }
        }
        return best;
    }

    private Set<Integer> mastered(final Fleet.Unit unit) throws InterruptedException {
        final Set<Integer> groups = new TreeSet<>();
        for (final GroupView view : groupsOf(unit)) {
            if (view.isLeader()) {
                groups.add(view.group());
            }
        }
        return groups;
    }

    private List<GroupView> groupsOf(final Fleet.Unit unit) throws InterruptedException {
        return unit.alive() ? GroupView.read(fleet.get(unit, "/v1/status")) : List.of();
    }
}
