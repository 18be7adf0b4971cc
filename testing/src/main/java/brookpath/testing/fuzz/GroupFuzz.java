package brookpath.testing.fuzz;

import java.util.stream.LongStream;

/**
 * Fuzz test of one replication group, on a network that loses, delays and reorders messages far more than TCP would,
 * with members that freeze, lose power and restart, in numbers that can occur in operation.
 */
public final class GroupFuzz {
    private static final int TRACE_LINES_SHOWN = 60;

    private final FuzzContext context;
    private final FuzzFaults faults;
    private final FuzzMembershipChanges membershipChanges;

    private GroupFuzz(final long seed, final FuzzStyle style) {
        context = new FuzzContext(seed, style);
        faults = new FuzzFaults(context);
        membershipChanges = new FuzzMembershipChanges(context);
    }

    /** Runs one seed in one style, until its end or its first violation. */
    public static FuzzOutcome run(final long seed, final FuzzStyle style) {
        return new GroupFuzz(seed, style).run();
    }

    private FuzzOutcome run() {
        final FuzzStyle style = context.style;
        for (int node = 1; node <= style.members() + style.spares(); node++) {
            final FuzzMember member = new FuzzMember(context, node);
            context.members.put(node, member);
            context.after(context.random.nextInt(300), () -> member.start(true));
        }
        context.after(400, () -> {
            schedulePublish();
            faults.scheduleNext();
            if (style.spares() > 0) {
                membershipChanges.scheduleNext();
            }
        });
        final long endMs = context.now() + style.lengthMs();
        while (context.events.nextTime() < endMs && context.oracle.violations().isEmpty()) {
            context.events.runNext();
        }
        return new FuzzOutcome(
                context.seed,
                context.oracle.violations(),
                context.oracle.committed(),
                context.oracle.leaders(),
                faults.crashes(),
                membershipChanges.changes(),
                context.oracle.trace());
    }

    private void schedulePublish() {
        context.after(5 + context.random.nextInt(30), () -> {
            context.members.values().forEach(FuzzMember::publish);
            schedulePublish();
        });
    }

    /** {@code FIRST COUNT}: many seeds in all styles; exits 1 if one had a violation. */
    public static void main(final String[] args) {
        final long first = args.length > 0 ? Long.parseLong(args[0]) : 1;
        final long count = args.length > 1 ? Long.parseLong(args[1]) : 100;
        final Totals totals = new Totals(count == 1);
        LongStream.range(first, first + count).parallel().forEach(seed -> {
            for (final FuzzStyle style : FuzzStyle.ALL) {
                totals.add(run(seed, style), style);
            }
        });
        System.out.println(count + " seeds, " + FuzzStyle.ALL.size() + " styles: " + totals);
        System.exit(totals.failed == 0 ? 0 : 1);
    }

    /** The totals of all runs, updated by several threads. */
    private static final class Totals {
        private final boolean showTrace;
        private long committed;
        private long leaders;
        private long changes;
        private long failed;

        Totals(final boolean showTrace) {
            this.showTrace = showTrace;
        }

        synchronized void add(final FuzzOutcome outcome, final FuzzStyle style) {
            committed += outcome.committed();
            leaders += outcome.leaders();
            changes += outcome.changes();
            if (outcome.violations().isEmpty()) {
                return;
            }
            failed++;
            if (showTrace) {
                final int lines = outcome.trace().size();
                outcome.trace()
                        .subList(Math.max(0, lines - TRACE_LINES_SHOWN), lines)
                        .forEach(System.out::println);
            }
            System.out.println("  " + outcome.violations().get(0) + " (seed " + outcome.seed() + ", " + style + ")");
        }

        @Override
        public synchronized String toString() {
            return committed + " committed, " + leaders + " leaders, " + changes + " membership changes, " + failed
                    + " failed";
        }
    }
}
