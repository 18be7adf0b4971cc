package brookpath.testing.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.stream.LongStream;

/** Plays days with many seeds: {@code bin/sweep FIRST COUNT [FAULT,...]}. Exits 1 if a day had a violation. */
public final class Sweep {
    private final EnumSet<SimulatedDay.Fault> faults;
    /** Whether only one day is played, which is then printed in full. */
    private final boolean single;

    private final List<Long> leaderlessMs = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> latencies = Collections.synchronizedList(new ArrayList<>());

    private Sweep(final EnumSet<SimulatedDay.Fault> faults, final boolean single) {
        this.faults = faults;
        this.single = single;
    }

    /**
     * Plays days with consecutive seeds.
     *
     * @param args the first seed, the number of days, and the kinds of faults, which are all by default
     */
    public static void main(final String[] args) {
        final long first = args.length > 0 ? Long.parseLong(args[0]) : 1;
        final long count = args.length > 1 ? Long.parseLong(args[1]) : 100;
        final EnumSet<SimulatedDay.Fault> faults = EnumSet.noneOf(SimulatedDay.Fault.class);
        if (args.length > 2) {
            for (final String f : args[2].split(",")) {
                faults.add(SimulatedDay.Fault.valueOf(f));
            }
        } else {
            faults.addAll(EnumSet.allOf(SimulatedDay.Fault.class));
        }
        final Sweep sweep = new Sweep(faults, count == 1);
        final long failed = LongStream.range(first, first + count)
                .parallel()
                .filter(seed -> !sweep.runDay(seed))
                .count();
        printPercentiles("time without an acting leader, ms", sweep.leaderlessMs);
        printPercentiles("commit to delivery, ms", sweep.latencies);
        System.out.println(count + " seeds, " + failed + " with violations");
        System.exit(failed == 0 ? 0 : 1);
    }

    /** Plays the day of this seed; returns whether it had no violation. */
    private boolean runDay(final long seed) {
        try {
            final SimulatedDay.Outcome day = SimulatedDay.play(SimulatedDay.Plan.of(seed, faults));
            leaderlessMs.addAll(day.leaderless());
            latencies.addAll(day.latencies());
            print(day);
            return day.good();
        } catch (final RuntimeException ex) {
            synchronized (this) {
                System.out.println("seed " + seed + ": " + ex);
                ex.printStackTrace(System.out);
            }
            return false;
        }
    }

    private synchronized void print(final SimulatedDay.Outcome day) {
        if (!day.good() || single) {
            System.out.println(day);
        }
        if (single) {
            day.notes().forEach(System.out::println);
        }
    }

    private static void printPercentiles(final String what, final List<Long> values) {
        Collections.sort(values);
        if (!values.isEmpty()) {
            final int n = values.size();
            System.out.println(what + ": n " + n + " median " + values.get(n / 2) + " p90 " + values.get(n * 9 / 10)
                    + " p99 " + values.get(n * 99 / 100) + " max " + values.get(n - 1));
        }
    }
}
