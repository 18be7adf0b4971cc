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

/** One fault, or one operation, on a fleet under load; prints how long it interrupted publishing. */
final class FleetScenario {
    private static final int GROUPS = 16;
    private static final long OBSERVATION_MS = 4_000;
    private static final long RESTART_ALL_OBSERVATION_MS = 15_000;
    private static final long RETIRE_TIMEOUT_MS = 60_000;
    private static final long ACTING_TIMEOUT_MS = 12_000;
    private static final long ACTING_POLL_MS = 10;
    private static final long RETIRE_POLL_MS = 50;

    private final Fleet fleet;
    private final CallerLoad load;

    FleetScenario(final Fleet fleet, final CallerLoad load) {
        this.fleet = fleet;
        this.load = load;
    }

    /** Runs the scenario; an unknown name is a steady run without a fault. */
    void run(final String name) throws IOException, InterruptedException {
        switch (name) {
            case "kill-master" -> killLeader();
            case "freeze-master" -> freezeLeader();
            case "retire" -> retire();
            case "rolling" -> restartOneByOne();
            case "all-restart" -> restartAll();
            default -> {
                // a steady run
            }
        }
    }

    private void killLeader() throws IOException, InterruptedException {
        final Fleet.FleetProcess target = busiest();
        final Set<Integer> groups = groupsLedBy(target);
        final long at = load.clock();
        target.kill();
        awaitActing(at, groups);
        Thread.sleep(OBSERVATION_MS);
        printGaps(at, groups, "killed");
        target.start(false);
    }

    private void freezeLeader() throws IOException, InterruptedException {
        final Fleet.FleetProcess target = busiest();
        final Set<Integer> groups = groupsLedBy(target);
        final long at = load.clock();
        target.signal("STOP");
        Thread.sleep(OBSERVATION_MS);
        target.signal("CONT");
        printGaps(at, groups, "frozen");
    }

    private void retire() throws IOException, InterruptedException {
        final Fleet.FleetProcess leaving = busiest();
        final long at = load.clock();
        final String path = "/v1/storages/" + leaving.node + "/retire";
        final String response = fleet.post(fleet.processes().get(1), path, "").body();
        System.out.println("retire node " + leaving.node + ": " + response.strip());
        while (!fleet.get(leaving, "/v1/status").contains("\"groups\":[]") && load.clock() < at + RETIRE_TIMEOUT_MS) {
            Thread.sleep(RETIRE_POLL_MS);
        }
        System.out.println("retire node " + leaving.node + ": empty after " + (load.clock() - at) + " ms");
        leaving.kill();
    }

    private void restartOneByOne() throws IOException, InterruptedException {
        for (final Fleet.FleetProcess process : fleet.processes().values()) {
            process.stop();
            process.start(false);
            Thread.sleep(OBSERVATION_MS);
        }
    }

    private void restartAll() throws IOException, InterruptedException {
        for (final Fleet.FleetProcess process : fleet.processes().values()) {
            process.kill();
        }
        final long at = load.clock();
        for (final Fleet.FleetProcess process : fleet.processes().values()) {
            process.start(false);
        }
        Thread.sleep(RESTART_ALL_OBSERVATION_MS);
        final Set<Integer> groups = IntStream.range(0, GROUPS).boxed().collect(Collectors.toCollection(TreeSet::new));
        printGaps(at, groups, "all restarted");
    }

    /** Polls the storage nodes until each group has a leader that may act again; prints the delay and the reason. */
    private void awaitActing(final long at, final Set<Integer> groups) throws InterruptedException {
        final TreeMap<Integer, String> acting = new TreeMap<>();
        while (acting.size() < groups.size() && load.clock() < at + ACTING_TIMEOUT_MS) {
            for (final Fleet.FleetProcess process : fleet.storages()) {
                for (final GroupView view : groupsOf(process)) {
                    if (view.mayAct() && groups.contains(view.group())) {
                        final long after = load.clock() - at;
                        acting.putIfAbsent(view.group(), after + " ms: node " + process.node + " " + view.why());
                    }
                }
            }
            Thread.sleep(ACTING_POLL_MS);
        }
        acting.forEach((group, result) ->
                System.out.println("group " + group + " has an acting leader again after " + result));
    }

    private void printGaps(final long at, final Set<Integer> groups, final String event) {
        final List<Long> gaps = new ArrayList<>();
        for (final int group : groups) {
            gaps.add(load.gapAfter(at, topic -> groupOf(topic) == group));
        }
        System.out.println(event + ": groups " + groups + ", ms until each committed again " + gaps);
    }

    private static int groupOf(final String topic) {
        final Configuration.Space space =
                new Configuration.Space(Callers.spaceOf(topic), 0, topic.startsWith("clues/"), 2);
        return Placement.groupOf(topic, space, GROUPS);
    }

    /** The storage node that leads the most groups. */
    private Fleet.FleetProcess busiest() throws InterruptedException {
        Fleet.FleetProcess best = null;
        int mostGroups = -1;
        for (final Fleet.FleetProcess process : fleet.storages()) {
            final int count = groupsLedBy(process).size();
            if (count > mostGroups) {
                mostGroups = count;
                best = process;
            }
        }
        return best;
    }

    private Set<Integer> groupsLedBy(final Fleet.FleetProcess process) throws InterruptedException {
        final Set<Integer> groups = new TreeSet<>();
        for (final GroupView view : groupsOf(process)) {
            if (view.isLeader()) {
                groups.add(view.group());
            }
        }
        return groups;
    }

    private List<GroupView> groupsOf(final Fleet.FleetProcess process) throws InterruptedException {
        return process.alive() ? GroupView.read(fleet.get(process, "/v1/status")) : List.of();
    }
}
