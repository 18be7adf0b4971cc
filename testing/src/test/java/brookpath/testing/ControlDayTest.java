package brookpath.testing;

import static brookpath.testing.sim.ControlFault.CLOCK_REPEATS;
import static brookpath.testing.sim.ControlFault.CUT_FROM_HALF;
import static brookpath.testing.sim.ControlFault.CUT_OFF;
import static brookpath.testing.sim.ControlFault.POWER_AFTER_RETIRE;
import static brookpath.testing.sim.ControlFault.REFUSED_ORDERS;
import static brookpath.testing.sim.ControlFault.REPLACE_CONTROLLER;
import static brookpath.testing.sim.ControlFault.REPLACE_CONTROLLER_ANNOUNCED;
import static brookpath.testing.sim.ControlFault.REPLACE_STORAGE;
import static brookpath.testing.sim.ControlFault.WIPE_DURING_RETIRE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.testing.sim.ControlDay;
import brookpath.testing.sim.ControlDay.Outcome;
import brookpath.testing.sim.ControlDay.Plan;
import brookpath.testing.sim.ControlFault;
import java.util.EnumSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Control days: under failures of controllers and storage nodes, of one machine at a time and of all at once, callers
 * never observe a violation. Each method from {@link #controllersAreReplaced} on guards one behaviour of the control
 * plane, which its comment names.
 */
public final class ControlDayTest {
    private static final long LENGTH_MS = 60_000;
    /** The length of bin/control-sweep's days, for faults that take effect late. */
    private static final long LONG_MS = 120_000;

    private static final EnumSet<ControlFault> REPLACED_CONTROLLERS =
            EnumSet.of(REPLACE_CONTROLLER, REPLACE_CONTROLLER_ANNOUNCED);
    private static final EnumSet<ControlFault> NO_FAULTS = EnumSet.noneOf(ControlFault.class);

    /** All kinds of faults that have no test method of their own below. */
    @DataProvider(parallel = true)
    public Object[][] kinds() {
        final EnumSet<ControlFault> kinds = EnumSet.allOf(ControlFault.class);
        kinds.removeAll(REPLACED_CONTROLLERS);
        kinds.remove(CUT_OFF);
        kinds.remove(CUT_FROM_HALF);
        kinds.removeAll(
                EnumSet.of(REPLACE_STORAGE, POWER_AFTER_RETIRE, WIPE_DURING_RETIRE, REFUSED_ORDERS, CLOCK_REPEATS));
        return rows(kinds);
    }

    @DataProvider(parallel = true)
    public Object[][] replacedControllers() {
        return rows(REPLACED_CONTROLLERS);
    }

    @DataProvider(parallel = true)
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    private static Object[][] rows(final EnumSet<ControlFault> kinds) {
        return kinds.stream().map(kind -> new Object[] {kind}).toArray(Object[][]::new);
    }

    private static void assertGood(final long seed, final ControlFault kind) {
        assertGood(seed, kind, LENGTH_MS);
    }

    private static void assertGood(final long seed, final ControlFault kind, final long lengthMs) {
        final Outcome day = ControlDay.play(new Plan(seed, lengthMs, EnumSet.of(kind)));
        assertTrue(day.good(), day.toString());
        assertTrue(day.counts().getOrDefault("control: " + kind, 0) > 0, kind + " was never injected: " + day);
        assertBusy(day);
    }

    /** Guards against a day that passes because nothing happened on it. */
    private static void assertBusy(final Outcome day) {
        assertTrue(day.newestVersion() > 30, day.toString());
        assertTrue(day.counts().getOrDefault("control: refused with 409", 0) > 3, day.toString());
        assertTrue(day.counts().getOrDefault("control: repeats", 0) > 3, day.toString());
        assertTrue(day.counts().getOrDefault("deliveries checked", 0) > 100, day.toString());
    }

    @Test
    public void aDayWithoutFaultsIsGood() {
        final Outcome day = ControlDay.play(new Plan(1, LENGTH_MS, NO_FAULTS));
        assertTrue(day.good(), day.toString());
        assertBusy(day);
    }

    @Test(dataProvider = "kinds")
    public void aDayOfOneKindIsGood(final ControlFault kind) {
        assertGood(1, kind);
    }

    @Test
    public void sameSeedSameDay() {
        final Plan plan = new Plan(7, LENGTH_MS, EnumSet.allOf(ControlFault.class));
        assertEquals(ControlDay.play(plan).notes(), ControlDay.play(plan).notes());
    }

    /** Requires that the control group adds new members and removes those that are permanently lost. */
    @Test(dataProvider = "replacedControllers")
    public void controllersAreReplaced(final ControlFault kind) {
        assertGood(1, kind);
    }

    /** Requires that replicas of a permanently lost storage node are recreated elsewhere without a request. */
    @Test
    public void replicasOfALostStorageNodeAreRecreatedElsewhere() {
        assertGood(1, REPLACE_STORAGE);
    }

    /** Requires that a retirement is acknowledged only once its record is committed. */
    @Test
    public void aRetirementHoldsOnceItIsAcknowledged() {
        assertGood(1, POWER_AFTER_RETIRE);
    }

    /** Requires that a repeated retirement request is acknowledged even if its replicas could not be placed now. */
    @Test
    public void aRepeatedRetirementRequestIsNotRefused() {
        assertGood(2, WIPE_DURING_RETIRE, LONG_MS);
        assertGood(3, WIPE_DURING_RETIRE, LONG_MS);
    }

    /** Requires that each incarnation of a process uses different IDs for its calls to other processes. */
    @Test
    public void responsesReachTheirCallWhenClocksRepeat() {
        assertGood(1, CLOCK_REPEATS);
    }

    /** Requires that refusals do not evict the outcomes of acknowledged changes from the control state. */
    @Test
    public void aRepeatedChangeIsRecognisedAfterThousandsOfRefusedOnes() {
        assertGood(1, REFUSED_ORDERS, LONG_MS);
    }

    /** Requires that a controller without contact to the leader forwards calls through one that has contact. */
    @Test
    public void allControllersInTouchServe() {
        assertGood(2, CUT_FROM_HALF);
    }

    /** Requires that a controller outside the control group soon finds the new leader once the old one is cut off. */
    @Test
    public void allControllersFindTheNewLeader() {
        assertGood(1, CUT_OFF, LONG_MS);
        assertGood(2, CUT_OFF);
    }

    /** Requires all of the above. */
    @Test(dataProvider = "seeds")
    public void aDayOfAllKindsIsGood(final long seed) {
        final Outcome day = ControlDay.play(new Plan(seed, LENGTH_MS, EnumSet.allOf(ControlFault.class)));
        assertTrue(day.good(), day.toString());
        assertTrue(day.counts().getOrDefault("control: closing faults", 0) == 1, day.toString());
        assertTrue(day.newestVersion() > 30, day.toString());
    }
}
