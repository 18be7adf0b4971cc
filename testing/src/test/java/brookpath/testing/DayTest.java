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

/** Simulated days: nothing that must never happen happens, and something did happen. */
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
    public void nothingForbiddenHappens(final EnumSet<Fault> faults) {
        for (long seed = 1; seed <= 2; seed++) {
            final Outcome day = SimulatedDay.play(Plan.of(seed, faults));
            assertTrue(day.good(), day.toString());
            // why: a day on which nothing was done would be good as well
            for (final String kind :
                    List.of("publish to group N", "count in group N", "resume", "listening", "change")) {
                assertTrue(
                        day.counts().getOrDefault("availability checked: " + kind, 0) > 0,
                        kind + " was not judged: " + day);
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
    public void onACalmDayMessagesArriveInTheUsualTime(final FleetSize size) {
        final Outcome day = SimulatedDay.play(
                Plan.of(3, EnumSet.noneOf(Fault.class)).withSize(size).withLength(20_000));
        assertTrue(day.good(), day.toString());
        assertTrue(
                day.latencies().size() > 1_000 && day.latencies().stream().allMatch(ms -> ms <= 100),
                "late on a calm day: " + day);
        assertTrue(day.publishLatencies().stream().allMatch(ms -> ms <= 50), "slow to accept on a calm day: " + day);
    }

    @DataProvider(parallel = true)
    public Object[][] fourSeeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}};
    }

    @Test(dataProvider = "fourSeeds")
    public void allIsReadBackThoughTheLastFailuresVictimNeverReturns(final long seed) {
        final Outcome day =
                SimulatedDay.play(Plan.of(seed, EnumSet.allOf(Fault.class)).withEnding(Ending.MACHINE_LOST));
        assertTrue(day.good(), day.toString());
        assertEquals((int) day.counts().get("gone for good"), 1, day.toString());
    }

    @Test
    public void theOwnerThatActedLastDiesRightAfterEachKindOfAct() throws InterruptedException {
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
    public void aDayOfTheUsersOwnSizes(final FleetSize size) {
        final Outcome day = SimulatedDay.play(
                Plan.of(5, EnumSet.allOf(Fault.class)).withSize(size).withLength(40_000));
        assertTrue(day.good(), day.toString());
        assertTrue(day.committed() > 1_500 && day.counts().get("faults") >= 8, day.toString());
    }

    @Test
    public void sameSeedSameDay() {
        final Plan plan = Plan.of(7, EnumSet.of(KILL, POWER, OWNER_DIES));
        assertEquals(SimulatedDay.play(plan).trace(), SimulatedDay.play(plan).trace());
    }

    @Test
    public void leftOutSyncIsSeen() {
        boolean seen = false;
        for (long seed = 1; seed <= 6 && !seen; seed++) {
            seen = !SimulatedDay.play(Plan.of(seed, EnumSet.of(BLACKOUT)).withMutation(Mutation.NO_FSYNC))
                    .good();
        }
        assertTrue(seen, "a disk that never syncs went unnoticed");
        assertFalse(SimulatedDay.play(Plan.of(1, EnumSet.of(BLACKOUT))).counts().isEmpty());
    }
}
