package brookpath.trial.sim;

import java.util.EnumSet;
import java.util.stream.LongStream;

/** Runs many seeds outside CI: {@code bin/sweep FIRST COUNT [FAULT,...]}. Exits 1 where a day had a violation. */
public final class Sweep {
    private Sweep() {
    }

    public static void main(final String[] args) {
        final long first = args.length > 0 ? Long.parseLong(args[0]) : 1;
        final long count = args.length > 1 ? Long.parseLong(args[1]) : 100;
        final EnumSet<Day.Fault> faults = EnumSet.noneOf(Day.Fault.class);
        if (args.length > 2) {
            for (final String f : args[2].split(",")) {
                faults.add(Day.Fault.valueOf(f));
            }
        } else {
            faults.addAll(EnumSet.allOf(Day.Fault.class));
        }
        final long bad = LongStream.range(first, first + count).parallel().filter(seed -> {
            try {
                final Day.Outcome day = Day.live(Day.Plan.of(seed, faults));
                synchronized (Sweep.class) {
                    if (!day.good() || count == 1) {
                        System.out.println(day);
                        if (count == 1) {
                            day.notes().forEach(System.out::println);
                        }
                    }
                }
                return !day.good();
            } catch (final RuntimeException ex) {
                synchronized (Sweep.class) {
                    System.out.println("seed " + seed + ": " + ex);
                    ex.printStackTrace(System.out);
                }
                return true;
            }
        }).count();
        System.out.println(count + " seeds, " + bad + " with violations");
        System.exit(bad == 0 ? 0 : 1);
    }
}
