package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.testing.model.ModelWalks;
import brookpath.testing.sim.ActionObserver;
import brookpath.testing.sim.ControlDay;
import brookpath.testing.sim.ControlFault;
import brookpath.testing.sim.FleetSize;
import brookpath.testing.sim.SimulatedDay;
import brookpath.testing.sim.SimulatedDay.Ending;
import brookpath.testing.sim.SimulatedDay.Fault;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The behaviour of the nodes is unchanged: each row runs a seeded simulation and compares the {@link TraceDigest} of
 * all actions with the stored one. Refactoring and renaming keep all digests. A change of behaviour regenerates the
 * file ({@link GoldenFile} says how), and its commit says which rows differ and why.
 */
public final class BehaviourDigestTest {
    private static final String SEPARATOR = " | ";
    private static final long WHOLE_DAY_MS = 20_000;
    private static final long FAULTS_MS = 40_000;
    private static final long USER_DAY_MS = 12_000;
    private static final long CONTROL_MS = 40_000;

    private static final EnumSet<Fault> NO_FAULTS = EnumSet.noneOf(Fault.class);
    private static final EnumSet<Fault> ALL_FAULTS = EnumSet.allOf(Fault.class);

    /** Runs the simulation of a row with a seed. */
    @FunctionalInterface
    private interface Run {
        void play(long seed, ActionObserver observer);
    }

    /** One line of the file. */
    private record Row(String name, long seed, Run run) {
        String key() {
            return name + SEPARATOR + seed;
        }

        @Override
        public String toString() {
            return key();
        }
    }

    private static final List<Row> ROWS = List.of(
            fleetDay("fleet, no fault", 1, NO_FAULTS),
            fleetDay("fleet, processes die", 2, EnumSet.of(Fault.KILL, Fault.OWNER_DIES)),
            fleetDay("fleet, power is lost", 3, EnumSet.of(Fault.POWER, Fault.BLACKOUT)),
            fleetDay("fleet, frozen or cut off", 4, EnumSet.of(Fault.FREEZE, Fault.CUT, Fault.ONE_WAY)),
            fleetDay("fleet, poor network", 5, EnumSet.of(Fault.LOSS, Fault.LINK_LOSS, Fault.SLOW_NET, Fault.RESETS)),
            fleetDay(
                    "fleet, poor disks",
                    6,
                    EnumSet.of(Fault.SLOW_DISK, Fault.SYNC_FAILS, Fault.STALLS, Fault.FULL_DISK)),
            fleetDay("fleet, lost or damaged disks", 7, EnumSet.of(Fault.DISK_LOST, Fault.CORRUPT, Fault.ROT)),
            fleetDay(
                    "fleet, operators at work",
                    8,
                    EnumSet.of(Fault.RETIRE, Fault.SWITCHOVER, Fault.DRAIN, Fault.GATEWAYS_RESTART, Fault.ROLLING)),
            fleetDay(
                    "fleet, clocks, races and the platform",
                    9,
                    EnumSet.of(Fault.CLOCK, Fault.RACE, Fault.PLATFORM, Fault.LAST_ACT)),
            wholeDay("fleet, all faults", 10, Ending.FAULT),
            wholeDay("fleet, all faults, one machine never returns", 11, Ending.MACHINE_LOST),
            wholeDay("fleet, all faults", 12, Ending.FAULT),
            userDay("first user, all faults", 13, FleetSize.JADRAN),
            userDay("second user, all faults", 14, FleetSize.SAJHA),
            controlDay("control, no fault", 21),
            controlDay(
                    "control, cut off",
                    22,
                    ControlFault.CUT_OFF,
                    ControlFault.CUT_SENDING,
                    ControlFault.CUT_HEARING,
                    ControlFault.CUT_FROM_CORE,
                    ControlFault.CUT_FROM_HALF,
                    ControlFault.CUT_SEEDS),
            controlDay(
                    "control, controllers replaced",
                    23,
                    ControlFault.REPLACE_CONTROLLER,
                    ControlFault.REPLACE_CONTROLLER_ANNOUNCED,
                    ControlFault.REUSE_CONTROLLER_ADDRESS),
            controlDay(
                    "control, storage machines replaced",
                    24,
                    ControlFault.REPLACE_STORAGE,
                    ControlFault.REUSE_STORAGE_ADDRESS),
            controlDay(
                    "control, retirements",
                    25,
                    ControlFault.RETIRE,
                    ControlFault.RETIRE_THEN_WIPE,
                    ControlFault.WIPE_DURING_RETIRE,
                    ControlFault.POWER_AFTER_RETIRE),
            controlDay(
                    "control, loss after an acknowledgement",
                    26,
                    ControlFault.POWER_AFTER_ACK,
                    ControlFault.WIPE_AFTER_ACK,
                    ControlFault.KILL_AFTER_SEND,
                    ControlFault.KILL_ALL,
                    ControlFault.POWER_ALL),
            controlDay(
                    "control, disks, clocks and sessions",
                    27,
                    ControlFault.SLOW_DISK,
                    ControlFault.HANGING_DISK,
                    ControlFault.FULL_DISK,
                    ControlFault.CLOCK_STEP,
                    ControlFault.CLOCK_REPEATS,
                    ControlFault.RESETS,
                    ControlFault.ROLLING_RESTART),
            controlDay(
                    "control, many changes",
                    28,
                    ControlFault.STORM,
                    ControlFault.REFUSED_ORDERS,
                    ControlFault.RACES,
                    ControlFault.ANSWERS_LOST),
            controlDay("control, all faults", 29, ControlFault.values()),
            controlDay("control, all faults", 30, ControlFault.values()),
            row("model, three members", 41, ModelWalks::fromThreeMembers),
            row("model, five members", 42, ModelWalks::fromFiveMembers),
            row("model, deposed leader", 43, ModelWalks::fromDeposedLeader),
            row("model, learner", 44, ModelWalks::fromLearner),
            row("model, four voters", 45, ModelWalks::fromFourVoters),
            row("model, trimmed log", 46, ModelWalks::fromTrimmedLog));

    private final GoldenFile golden = new GoldenFile(BehaviourDigestTest.class, "behaviour-digests.txt");

    private static Row row(final String name, final long seed, final Run run) {
        return new Row(name, seed, run);
    }

    /** A day up to its last fault. */
    private static Row fleetDay(final String name, final long seed, final EnumSet<Fault> faults) {
        return row(
                name,
                seed,
                (s, observer) ->
                        SimulatedDay.playFaults(SimulatedDay.Plan.of(s, faults).withLength(FAULTS_MS), observer));
    }

    /** A shorter day of all faults, including the recovery after it. */
    private static Row wholeDay(final String name, final long seed, final Ending ending) {
        return row(
                name,
                seed,
                (s, observer) -> SimulatedDay.play(
                        SimulatedDay.Plan.of(s, ALL_FAULTS)
                                .withLength(WHOLE_DAY_MS)
                                .withEnding(ending),
                        observer));
    }

    /** A short day of all faults up to the last one, with as many processes and callers as a user has. */
    private static Row userDay(final String name, final long seed, final FleetSize size) {
        return row(
                name,
                seed,
                (s, observer) -> SimulatedDay.playFaults(
                        SimulatedDay.Plan.of(s, ALL_FAULTS).withSize(size).withLength(USER_DAY_MS), observer));
    }

    private static Row controlDay(final String name, final long seed, final ControlFault... faults) {
        final EnumSet<ControlFault> kinds = EnumSet.noneOf(ControlFault.class);
        kinds.addAll(Arrays.asList(faults));
        return row(name, seed, (s, observer) -> ControlDay.play(new ControlDay.Plan(s, CONTROL_MS, kinds), observer));
    }

    @DataProvider(parallel = true)
    public Object[][] rows() {
        return ROWS.stream().map(row -> new Object[] {row}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "rows")
    public void behaviourIsUnchanged(final Object given) {
        final Row row = (Row) given;
        golden.assertHolds(row.key(), digestOf(row));
    }

    /** Two equal runs in one process give the same digest; otherwise the stored digests would prove nothing. */
    @Test
    public void digestIsRepeatable() {
        final Row row = controlDay("control, repeated", 31, ControlFault.KILL, ControlFault.REPLACE_STORAGE);
        assertEquals(digestOf(row), digestOf(row));
    }

    @Test
    public void fileHasExactlyTheseRows() {
        assertEquals(
                new ArrayList<>(golden.expected().keySet()),
                ROWS.stream().map(Row::key).sorted().toList());
    }

    @AfterClass
    public void write() throws IOException {
        golden.write();
    }

    private static String digestOf(final Row row) {
        final TraceDigest trace = new TraceDigest();
        row.run().play(row.seed(), trace);
        assertTrue(trace.actions() > 1_000, row + " has only " + trace.actions() + " actions");
        return trace.hex();
    }
}
