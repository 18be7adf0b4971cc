package brookpath.testing.model;

import java.util.Locale;

/**
 * Command line of the model, for runs longer than those in CI: {@code bin/model [SEEDS [DEPTH [BUDGET [FIRST_SEED]]]]}.
 * Explores every start state to the depth, with at most {@code BUDGET} steps each, then runs guided walks with the
 * seeds. At the first violation it prints a shortened schedule and exits 1. With {@code replay START CHOICE...} it
 * replays one schedule.
 */
public final class ModelMain {
    private static final int WALK_LENGTH = 120;
    private static final double NANOS = 1e9;

    private ModelMain() {}

    /** Runs the model; the arguments are described at the class. */
    public static void main(final String[] args) {
        if (args.length > 0 && args[0].equals("replay")) {
            replay(args);
            return;
        }
        final long seeds = number(args, 0, 200);
        final int depth = (int) number(args, 1, 2);
        final long budget = number(args, 2, 20_000);
        final long first = number(args, 3, 1);
        for (final StartState start : StartState.values()) {
            explore(start, depth, budget);
        }
        walk(first, seeds);
    }

    private static long number(final String[] args, final int at, final long defaultValue) {
        return args.length > at ? Long.parseLong(args[at]) : defaultValue;
    }

    private static void replay(final String[] args) {
        final String choices = String.join(" ", java.util.Arrays.copyOfRange(args, 2, args.length));
        final Finding finding = Schedule.replay(
                StartState.valueOf(args[1]),
                Choice.parse(choices),
                true,
                (choice, world) -> System.out.println(choice + " " + Schedule.describe(world)));
        System.out.println(finding == null ? "no violation" : finding);
        System.exit(finding == null ? 0 : 1);
    }

    private static void explore(final StartState start, final int depth, final long budget) {
        final long startNanos = System.nanoTime();
        final Explorer explorer = new Explorer(start, budget);
        final Finding finding = explorer.explore(depth);
        final double seconds = (System.nanoTime() - startNanos) / NANOS;
        System.out.printf(
                Locale.ROOT,
                "%s: depth %d%s, %d steps, %d states, %.0f states/s%n",
                start,
                depth,
                explorer.complete() ? "" : " (incomplete: budget used up)",
                explorer.steps(),
                explorer.states(),
                explorer.states() / seconds);
        exitOnFinding(finding, seconds);
    }

    private static void walk(final long first, final long seeds) {
        final long startNanos = System.nanoTime();
        long steps = 0;
        long leaders = 0;
        long committed = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            for (final StartState start : StartState.values()) {
                final GuidedWalk walk = new GuidedWalk(start, seed);
                exitOnFinding(walk.walk(WALK_LENGTH), (System.nanoTime() - startNanos) / NANOS);
                steps += walk.steps();
                leaders += walk.leaders();
                committed += walk.committedRecords();
            }
        }
        final double seconds = (System.nanoTime() - startNanos) / NANOS;
        System.out.printf(
                Locale.ROOT,
                "%d seeds, %d start states, walks of %d: %d steps, %.0f steps/s, %d leaders, %d committed%n",
                seeds,
                StartState.values().length,
                WALK_LENGTH,
                steps,
                steps / seconds,
                leaders,
                committed);
    }

    private static void exitOnFinding(final Finding finding, final double seconds) {
        if (finding != null) {
            System.out.printf(Locale.ROOT, "VIOLATION after %.1f s: %s%n", seconds, Schedule.shrink(finding));
            System.exit(1);
        }
    }
}
