package brookpath.testing.sim;

import brookpath.testing.sim.ControlDay.Outcome;
import brookpath.testing.sim.ControlDay.Plan;
import java.util.EnumSet;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * Runs many control days outside CI: {@code bin/control-sweep FIRST COUNT [KIND,...]}. The kind {@code EACH} runs the
 * seeds once for each kind alone. Exits with status 1 if any violation was found.
 */
public final class ControlSweep {
    private static final long LENGTH_MS = 120_000;
    private static final String EACH = "EACH";

    private final long first;
    private final long count;
    private long failedDays;

    private ControlSweep(final long first, final long count) {
        this.first = first;
        this.count = count;
    }

    /** Runs one day for each seed. The arguments are the first seed, the number of seeds and the kinds of faults. */
    public static void main(final String[] args) {
        final ControlSweep sweep = new ControlSweep(
                args.length > 0 ? Long.parseLong(args[0]) : 1, args.length > 1 ? Long.parseLong(args[1]) : 20);
        final String kinds = args.length > 2 ? args[2] : "";
        if (kinds.equals(EACH)) {
            for (final ControlFault kind : ControlFault.values()) {
                sweep.play(kind.name(), EnumSet.of(kind), false);
            }
        } else {
            final EnumSet<ControlFault> chosen =
                    kinds.isEmpty() ? EnumSet.allOf(ControlFault.class) : EnumSet.noneOf(ControlFault.class);
            for (final String kind : kinds.isEmpty() ? new String[0] : kinds.split(",")) {
                chosen.add(ControlFault.valueOf(kind));
            }
            sweep.play(kinds.isEmpty() ? "all kinds" : kinds, chosen, true);
        }
        System.exit(sweep.failedDays == 0 ? 0 : 1);
    }

    private void play(final String name, final EnumSet<ControlFault> faults, final boolean verbose) {
        final TreeMap<String, Integer> rules = new TreeMap<>();
        final TreeMap<Long, String> seeds = new TreeMap<>();
        LongStream.range(first, first + count).parallel().forEach(seed -> {
            final Outcome day = ControlDay.play(new Plan(seed, LENGTH_MS, faults));
            synchronized (this) {
                if (!day.good()) {
                    seeds.put(
                            seed,
                            day.violationsByRule()
                                    + (day.otherViolations().isEmpty()
                                            ? ""
                                            : " and " + day.otherViolations().size() + " other violations"));
                    day.violationsByRule().forEach((rule, n) -> rules.merge(rule.name(), 1, Integer::sum));
                }
                if (verbose && (!day.good() || count == 1)) {
                    System.out.println(day);
                }
                if (count == 1 && verbose) {
                    day.notes().forEach(System.out::println);
                }
            }
        });
        failedDays += seeds.size();
        System.out.println(name + ": " + count + " seeds, " + seeds.size() + " with violations, days by rule " + rules);
        seeds.forEach((seed, summary) -> System.out.println("  seed " + seed + ": " + summary));
    }
}
