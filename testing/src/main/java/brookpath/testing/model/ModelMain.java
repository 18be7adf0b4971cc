package brookpath.testing.model;

import java.util.Locale;

/**
 * The model outside CI: {@code bin/model [SEEDS [DEPTH [BUDGET [FIRST_SEED]]]]}. Explores every start state to the
 * depth with the budget of steps each, then walks the seeds. Exits 1 at the first violation, shortened. With
 * {@code replay START CHOICE...} it repeats one schedule.
 */
public final class ModelMain {
    private static final int WALK = 120;
    private static final double NANOS = 1e9;

    private ModelMain() {}

    /** Runs; see the class. */
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

    private static long number(final String[] args, final int at, final long otherwise) {
        return args.length > at ? Long.parseLong(args[at]) : otherwise;
    }

    private static void replay(final String[] args) {
        final String choices = String.join(" ", java.util.Arrays.copyOfRange(args, 2, args.length));
        final Finding finding = Schedule.replay(
                StartState.valueOf(args[1]),
                Choice.parse(choices),
                true,
                (choice, world) -> System.out.println(choice + " " + Schedule.describe(world)));
        System.out.println(finding == null ? "nothing broken" : finding);
        System.exit(finding == null ? 0 : 1);
    }

    private static void explore(final StartState start, final int depth, final long budget) {
        final long began = System.nanoTime();
        final Explorer explorer = new Explorer(start, budget);
        final Finding finding = explorer.explore(depth);
        final double seconds = (System.nanoTime() - began) / NANOS;
        System.out.printf(
                Locale.ROOT,
                "%s: depth %d%s, %d steps, %d states, %.0f states/s%n",
                start,
                depth,
                explorer.complete() ? "" : " (not all: budget)",
                explorer.steps(),
                explorer.states(),
                explorer.states() / seconds);
        fail(finding, seconds);
    }

    private static void walk(final long first, final long seeds) {
        final long began = System.nanoTime();
        long steps = 0;
        long leaders = 0;
        long committed = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            for (final StartState start : StartState.values()) {
                final GuidedWalk walk = new GuidedWalk(start, seed);
                fail(walk.walk(WALK), (System.nanoTime() - began) / NANOS);
                steps += walk.steps();
                leaders += walk.leaders();
                committed += walk.committedRecords();
            }
        }
        final double seconds = (System.nanoTime() - began) / NANOS;
        System.out.printf(
                Locale.ROOT,
                "%d seeds, %d start states, walks of %d: %d steps, %.0f steps/s, %d masters, %d accepted%n",
                seeds,
                StartState.values().length,
                WALK,
                steps,
                steps / seconds,
                leaders,
                committed);
    }

    private static void fail(final Finding finding, final double seconds) {
        if (finding != null) {
            System.out.printf(Locale.ROOT, "VIOLATION after %.1f s: %s%n", seconds, Schedule.shrink(finding));
            System.exit(1);
        }
    }
}
