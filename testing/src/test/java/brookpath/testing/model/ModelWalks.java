package brookpath.testing.model;

import static org.testng.Assert.assertNull;

import brookpath.testing.sim.ActionObserver;
import java.util.SplittableRandom;

/** Random walks of the model for tests of other packages, which do not see its start states. */
public final class ModelWalks {
    /** How many choices a walk consists of. */
    private static final int CHOICES = 400;

    private ModelWalks() {}

    /** Walks from a fresh group whose leader has two entries in its log. */
    public static void fromThreeMembers(final long seed, final ActionObserver observer) {
        walk(StartState.LED, seed, observer);
    }

    /** Walks from a group of five members. */
    public static void fromFiveMembers(final long seed, final ActionObserver observer) {
        walk(StartState.LED_BY_FIVE, seed, observer);
    }

    /** Walks from a group whose leader is cut off while its successor has a newer entry. */
    public static void fromDeposedLeader(final long seed, final ActionObserver observer) {
        walk(StartState.DEPOSED, seed, observer);
    }

    /** Walks from a group with a learner that is up to date. */
    public static void fromLearner(final long seed, final ActionObserver observer) {
        walk(StartState.LEARNER, seed, observer);
    }

    /** Walks from a group with four voters. */
    public static void fromFourVoters(final long seed, final ActionObserver observer) {
        walk(StartState.FOUR_VOTERS, seed, observer);
    }

    /** Walks from a group whose log is trimmed at its start, and an empty member that needs all of it. */
    public static void fromTrimmedLog(final long seed, final ActionObserver observer) {
        walk(StartState.TRIMMED, seed, observer);
    }

    private static void walk(final StartState start, final long seed, final ActionObserver observer) {
        assertNull(new GuidedWalk(start, new SplittableRandom(seed), observer).walk(CHOICES));
    }
}
