package brookpath.testing.model;

import brookpath.testing.model.Choice.Kind;
import brookpath.testing.sim.ActionObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A long random schedule, weighted towards the sequences that are likely to reveal faults: a crash right after an
 * append or a membership change, delayed messages, a frozen leader, a membership change during an election. At the end
 * all faults are healed, and the group must serve again.
 */
final class GuidedWalk {
    private static final int HIGH_WEIGHT = 24;
    private static final int MEDIUM_WEIGHT = 8;
    private static final int LOW_WEIGHT = 2;
    private static final int AFTER_ACTION_FACTOR = 5;

    private final StartState start;
    private final SplittableRandom random;
    private final ActionObserver observer;
    private final List<Choice> path = new ArrayList<>();
    private ModelWorld world;
    private Choice last = Choice.run(0);

    GuidedWalk(final StartState start, final long seed) {
        this(start, new SplittableRandom(seed * 31 + start.name().hashCode()), ActionObserver.NONE);
    }

    /** A walk whose random numbers do not depend on the name of the start state. */
    GuidedWalk(final StartState start, final SplittableRandom random, final ActionObserver observer) {
        this.start = start;
        this.random = random;
        this.observer = observer;
    }

    /** Returns the schedule if it violated an invariant, else null. */
    Finding walk(final int length) {
        try {
            world = start.create();
            world.observer = observer;
            while (path.size() < length) {
                last = pick(Choices.of(world));
                path.add(last);
                world.apply(last);
            }
            Schedule.healAndSettle(world);
            return null;
        } catch (final RuntimeException broken) {
            return new Finding(start, List.copyOf(path), String.valueOf(broken.getMessage()));
        }
    }

    int leaders() {
        return world.invariants.leaders();
    }

    int committedRecords() {
        return world.invariants.committedRecords();
    }

    int steps() {
        return path.size();
    }

    private Choice pick(final List<Choice> choices) {
        int sum = 0;
        for (final Choice choice : choices) {
            sum += weight(choice);
        }
        int at = random.nextInt(sum);
        for (final Choice choice : choices) {
            at -= weight(choice);
            if (at < 0) {
                return choice;
            }
        }
        throw new IllegalStateException("weights do not add up for " + choices);
    }

    private int weight(final Choice choice) {
        return switch (choice.kind()) {
            case RUN -> 2 * HIGH_WEIGHT;
            case DELIVER, SYNC -> MEDIUM_WEIGHT;
            case DELAY, TICK -> LOW_WEIGHT;
            case APPEND, PROMOTE, ADD_LEARNER -> HIGH_WEIGHT;
            case REMOVE -> MEDIUM_WEIGHT;
            case RESTART -> last.kind() == Kind.CRASH && last.member() == choice.member() ? HIGH_WEIGHT : MEDIUM_WEIGHT;
            case THAW, HEAL, RELEASE, RESUME_DISK, HAND_OVER -> MEDIUM_WEIGHT;
            case DUPLICATE -> 2 * LOW_WEIGHT;
            case DROP, SKEW, WIPE -> LOW_WEIGHT;
            case CRASH, CUT, CUT_INBOUND, CUT_OUTBOUND, FREEZE, HOLD, STALL_DISK ->
                isLikelyToRevealFault(choice) ? LOW_WEIGHT * AFTER_ACTION_FACTOR : LOW_WEIGHT;
        };
    }

    /**
     * Whether the last choice was an append, membership change or leadership transfer, or this fault at another member.
     */
    private boolean isLikelyToRevealFault(final Choice choice) {
        final boolean actionBefore = last.kind() == Kind.APPEND
                || last.kind() == Kind.PROMOTE
                || last.kind() == Kind.REMOVE
                || last.kind() == Kind.ADD_LEARNER
                || last.kind() == Kind.HAND_OVER;
        return actionBefore || (last.kind() == choice.kind() && last.member() != choice.member());
    }
}
