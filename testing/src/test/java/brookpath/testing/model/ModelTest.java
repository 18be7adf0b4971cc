package brookpath.testing.model;

import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Locale;
import org.testng.annotations.Test;

/** The model with a fixed budget of steps: schedules of two choices, and much longer guided walks. */
public final class ModelTest {
    private static final int DEPTH = 2;
    private static final long BUDGET = 1_000;
    private static final int SEEDS = 40;
    private static final int WALK_LENGTH = 120;
    private static final double NANOS = 1e9;

    @Test
    public void invariantsHoldInEveryShortSchedule() {
        for (final StartState start : StartState.values()) {
            final long startNanos = System.nanoTime();
            final Explorer explorer = new Explorer(start, BUDGET);
            assertNull(explorer.explore(DEPTH));
            final double seconds = (System.nanoTime() - startNanos) / NANOS;
            System.out.printf(
                    Locale.ROOT,
                    "model %s: depth %d%s, %d steps, %d states, %.0f states/s%n",
                    start,
                    DEPTH,
                    explorer.complete() ? "" : " (incomplete: budget used up)",
                    explorer.steps(),
                    explorer.states(),
                    explorer.states() / seconds);
            assertTrue(
                    explorer.steps() > 0 && explorer.steps() <= BUDGET,
                    start + " takes " + explorer.steps() + " steps");
        }
    }

    @Test
    public void invariantsHoldInGuidedWalks() {
        final long startNanos = System.nanoTime();
        long steps = 0;
        int leaders = 0;
        int committed = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            for (final StartState start : StartState.values()) {
                final GuidedWalk walk = new GuidedWalk(start, seed);
                assertNull(walk.walk(WALK_LENGTH));
                steps += walk.steps();
                leaders += walk.leaders();
                committed += walk.committedRecords();
            }
        }
        final double seconds = (System.nanoTime() - startNanos) / NANOS;
        System.out.printf(Locale.ROOT, "model walks: %d steps, %.0f steps/s%n", steps, steps / seconds);
        assertTrue(leaders > 600 && committed > 3_000, leaders + " leaders, " + committed + " committed");
    }

    @Test
    public void sameChoicesLeadToTheSameState() {
        final String schedule = "RUN:0:25 CRASH:1:0 RESTART:1:0";
        assertTrue(Choice.parse(schedule).toString().contains("CRASH:1:0"));
        final ModelWorld once = StartState.LED.create();
        final ModelWorld again = StartState.LED.create();
        for (final Choice choice : Choice.parse(schedule)) {
            once.apply(choice);
            again.apply(choice);
        }
        assertTrue(StateHash.of(once) == StateHash.of(again), "the same choices lead to the same state");
        again.apply(Choice.of(Choice.Kind.SKEW, 2));
        assertTrue(StateHash.of(once) != StateHash.of(again), "another state has another digest");
    }
}
