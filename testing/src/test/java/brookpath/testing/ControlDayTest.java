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
 * Control days: whatever befalls the controllers and storage machines, one at a time and all at once, callers see
 * nothing that they must never see. Each method from {@link #controllersAreReplaced} on needs a change of the product
 * of its own.
 */
public final class ControlDayTest {
    private static final long LENGTH_MS = 60_000;
    /** The length of bin/control-sweep's days, for troubles that need time. */
    private static final long LONG_MS = 120_000;

    private static final EnumSet<ControlFault> REPLACED_CONTROLLERS =
            EnumSet.of(REPLACE_CONTROLLER, REPLACE_CONTROLLER_ANNOUNCED);
    private static final EnumSet<ControlFault> CALM = EnumSet.noneOf(ControlFault.class);

    /** Every kind that has no method of its own below. */
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
        assertTrue(day.counts().getOrDefault("control: " + kind, 0) > 0, kind + " never came about: " + day);
        assertBusy(day);
    }

    /** A day on which nothing was done would be good as well. */
    private static void assertBusy(final Outcome day) {
        assertTrue(day.newest() > 30, day.toString());
        assertTrue(day.counts().getOrDefault("control: refused with 409", 0) > 3, day.toString());
        assertTrue(day.counts().getOrDefault("control: repeats", 0) > 3, day.toString());
        assertTrue(day.counts().getOrDefault("deliveries checked", 0) > 100, day.toString());
    }

    @Test
    public void aCalmDayIsGood() {
        final Outcome day = ControlDay.play(new Plan(1, LENGTH_MS, CALM));
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

    /** Needs: the control group takes new members in and lets those go that are gone for good. */
    @Test(dataProvider = "replacedControllers")
    public void controllersAreReplaced(final ControlFault kind) {
        assertGood(1, kind);
    }

    /** Needs: copies of a storage machine that is gone for good are made elsewhere, without an order. */
    @Test
    public void copiesOfAStorageMachineThatIsGoneAreMadeElsewhere() {
        assertGood(1, REPLACE_STORAGE);
    }

    /** Needs: a retirement is acknowledged only once its record is committed. */
    @Test
    public void aRetirementHoldsOnceItIsAcknowledged() {
        assertGood(1, POWER_AFTER_RETIRE);
    }

    /** Needs: a retirement that was taken is acknowledged again, also where its copies would find no place now. */
    @Test
    public void aRetirementThatIsSentAgainIsNotRefused() {
        assertGood(2, WIPE_DURING_RETIRE, LONG_MS);
        assertGood(3, WIPE_DURING_RETIRE, LONG_MS);
    }

    /** Needs: the IDs under which calls travel between processes differ in each life of a process. */
    @Test
    public void answersReachTheCallThatAskedThoughClocksRepeat() {
        assertGood(1, CLOCK_REPEATS);
    }

    /** Needs: refusals do not push the outcomes of acknowledged changes out of the control state. */
    @Test
    public void aChangeIsRecognisedAfterThousandsOfRefusedOnes() {
        assertGood(1, REFUSED_ORDERS, LONG_MS);
    }

    /** Needs: a controller that does not hear the leader carries calls by way of one that does. */
    @Test
    public void allControllersInTouchServe() {
        assertGood(2, CUT_FROM_HALF);
    }

    /** Needs: a controller outside the control group finds the new leader soon after the old one is cut off. */
    @Test
    public void allControllersFindTheNewLeader() {
        assertGood(1, CUT_OFF, LONG_MS);
        assertGood(2, CUT_OFF);
    }

    /** Needs all of the above. */
    @Test(dataProvider = "seeds")
    public void aDayOfAllKindsIsGood(final long seed) {
        final Outcome day = ControlDay.play(new Plan(seed, LENGTH_MS, EnumSet.allOf(ControlFault.class)));
        assertTrue(day.good(), day.toString());
        assertTrue(day.counts().getOrDefault("control: closing faults", 0) == 1, day.toString());
        assertTrue(day.newest() > 30, day.toString());
    }
}
