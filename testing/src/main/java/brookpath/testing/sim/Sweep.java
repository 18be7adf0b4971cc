package brookpath.testing.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.stream.LongStream;

/** Runs many seeds outside CI: {@code bin/sweep FIRST COUNT [FAULT,...]}. Exits 1 where a day had a violation. */
public final class Sweep {
    private final EnumSet<SimulatedDay.Fault> faults;
    /** A single day is printed in full. */
    private final boolean single;

    private final List<Long> gaps = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> latencies = Collections.synchronizedList(new ArrayList<>());

    private Sweep(final EnumSet<SimulatedDay.Fault> faults, final boolean single) {
        this.faults = faults;
        this.single = single;
    }

    /** Plays days from the first seed on, as many as the second argument says, with the given kinds of faults. */
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
        final long bad = LongStream.range(first, first + count)
                .parallel()
                .filter(seed -> !sweep.runDay(seed))
                .count();
        spread("masterless ms", sweep.gaps);
        spread("acceptance-to-delivery ms", sweep.latencies);
        System.out.println(count + " seeds, " + bad + " with violations");
        System.exit(bad == 0 ? 0 : 1);
    }

    /** Whether the day of this seed was without a violation. */
    private boolean runDay(final long seed) {
        try {
            final SimulatedDay.Outcome day = SimulatedDay.play(SimulatedDay.Plan.of(seed, faults));
            gaps.addAll(day.leaderless());
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

    private static void spread(final String what, final List<Long> values) {
        Collections.sort(values);
        if (!values.isEmpty()) {
            final int n = values.size();
            System.out.println(what + ": n " + n + " median " + values.get(n / 2) + " p90 " + values.get(n * 9 / 10)
                    + " p99 " + values.get(n * 99 / 100) + " max " + values.get(n - 1));
        }
    }
}
