package brookpath.testing;

import static brookpath.testing.sim.SimulatedDay.Fault.BLACKOUT;
import static brookpath.testing.sim.SimulatedDay.Fault.KILL;
import static brookpath.testing.sim.SimulatedDay.Fault.OWNER_DIES;
import static brookpath.testing.sim.SimulatedDay.Fault.POWER;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.testing.sim.FleetSize;
import brookpath.testing.sim.Mutation;
import brookpath.testing.sim.SimulatedDay;
import brookpath.testing.sim.SimulatedDay.Ending;
import brookpath.testing.sim.SimulatedDay.Fault;
import brookpath.testing.sim.SimulatedDay.Outcome;
import brookpath.testing.sim.SimulatedDay.Plan;
import java.util.EnumSet;
import java.util.List;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Simulated days: no oracle finds a violation, and the day had enough load and faults for that to mean something. */
public final class DayTest {
    @DataProvider(parallel = true)
    public Object[][] faults() {
        final Fault[] all = Fault.values();
        final Object[][] rows = new Object[all.length + 1][];
        for (int i = 0; i < all.length; i++) {
            rows[i] = new Object[] {EnumSet.of(all[i])};
        }
        rows[all.length] = new Object[] {EnumSet.allOf(Fault.class)};
        return rows;
    }

    @Test(dataProvider = "faults")
    public void noViolationWithAnyFault(final EnumSet<Fault> faults) {
        for (long seed = 1; seed <= 2; seed++) {
            final Outcome day = SimulatedDay.play(Plan.of(seed, faults));
            assertTrue(day.good(), day.toString());
            // a day without any load would have no violation either
            for (final String kind :
                    List.of("publish to group N", "count in group N", "resume", "listening", "change")) {
                assertTrue(
                        day.counts().getOrDefault("availability checked: " + kind, 0) > 0,
                        kind + " was not checked: " + day);
            }
            assertTrue(day.counts().get("deliveries checked") > 3_000, day.toString());
            assertTrue(day.committed() > 800 && day.delivered() > 3 * day.committed(), day.toString());
            assertTrue(
                    day.counts().get("changes confirmed") >= 3 && day.counts().get("faults") >= 8, day.toString());
        }
    }

    @DataProvider(parallel = true)
    public Object[][] fleetSizes() {
        return new Object[][] {{FleetSize.SMALL}, {FleetSize.JADRAN}, {FleetSize.SAJHA}};
    }

    @Test(dataProvider = "fleetSizes")
    public void withoutFaultsMessagesArriveInTime(final FleetSize size) {
        final Outcome day = SimulatedDay.play(
                Plan.of(3, EnumSet.noneOf(Fault.class)).withSize(size).withLength(20_000));
        assertTrue(day.good(), day.toString());
        assertTrue(
                day.latencies().size() > 1_000 && day.latencies().stream().allMatch(ms -> ms <= 100),
                "late delivery on a day without faults: " + day);
        assertTrue(
                day.publishLatencies().stream().allMatch(ms -> ms <= 50),
                "slow commit on a day without faults: " + day);
    }

    @DataProvider(parallel = true)
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}};
    }

    @Test(dataProvider = "seeds")
    public void noCommittedDataIsLostWithAMachine(final long seed) {
        final Outcome day =
                SimulatedDay.play(Plan.of(seed, EnumSet.allOf(Fault.class)).withEnding(Ending.MACHINE_LOST));
        assertTrue(day.good(), day.toString());
        assertEquals((int) day.counts().get("gone for good"), 1, day.toString());
    }

    @Test
    public void leaderDiesAtEachCrashPoint() throws InterruptedException {
        final TreeMap<String, Integer> died = new TreeMap<>();
        final List<Outcome> days = SeedsInParallel.play(
                1, 12, seed -> SimulatedDay.play(Plan.of(seed, EnumSet.of(Fault.LAST_ACT, Fault.RETIRE))));
        for (final Outcome day : days) {
            assertTrue(day.good(), day.toString());
            day.counts().forEach((what, n) -> died.merge(what, n, Integer::sum));
        }
        for (final String point :
                List.of("APPEND", "SYNC", "ACCEPT", "ANSWER", "CLOSE", "MEMBERS", "USAGE", "CONFIRM")) {
            assertTrue(died.getOrDefault("died right after " + point, 0) > 0, point + " was never reached: " + died);
        }
    }

    @DataProvider(parallel = true)
    public Object[][] usersFleetSizes() {
        return new Object[][] {{FleetSize.JADRAN}, {FleetSize.SAJHA}};
    }

    @Test(dataProvider = "usersFleetSizes")
    public void noViolationAtTheUsersFleetSizes(final FleetSize size) {
        final Outcome day = SimulatedDay.play(
                Plan.of(5, EnumSet.allOf(Fault.class)).withSize(size).withLength(40_000));
        assertTrue(day.good(), day.toString());
        assertTrue(day.committed() > 1_500 && day.counts().get("faults") >= 8, day.toString());
    }

    @Test
    public void sameSeedGivesTheSameDay() {
        final Plan plan = Plan.of(7, EnumSet.of(KILL, POWER, OWNER_DIES));
        assertEquals(SimulatedDay.play(plan).trace(), SimulatedDay.play(plan).trace());
    }

    @Test
    public void missingSyncIsDetected() {
        boolean detected = false;
        for (long seed = 1; seed <= 6 && !detected; seed++) {
            detected = !SimulatedDay.play(Plan.of(seed, EnumSet.of(BLACKOUT)).withMutation(Mutation.NO_FSYNC))
                    .good();
        }
        assertTrue(detected, "no oracle detected a disk that never syncs");
        assertFalse(SimulatedDay.play(Plan.of(1, EnumSet.of(BLACKOUT))).counts().isEmpty());
    }
}
