package brookpath.testing.model;

import brookpath.testing.model.Choice.Kind;
import brookpath.testing.sim.ActionObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A long random schedule that favours what hurts: a crash right after an append or a change, late messages, a frozen
 * leader, a membership change amid an election. Ends with a rest, after which the group has to serve again.
 */
final class GuidedWalk {
    private static final int COMMON = 24;
    private static final int USUAL = 8;
    private static final int SELDOM = 2;
    private static final int AFTERMATH = 5;

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

    /** The broken schedule, or null. */
    Finding walk(final int length) {
        try {
            world = start.create();
            world.observer = observer;
            while (path.size() < length) {
                last = pick(Choices.of(world));
                path.add(last);
                world.apply(last);
            }
            Schedule.rest(world);
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
        throw new IllegalStateException("weights of " + choices);
    }

    private int weight(final Choice choice) {
        return switch (choice.kind()) {
            case RUN -> 2 * COMMON;
            case DELIVER, SYNC -> USUAL;
            case DELAY, TICK -> SELDOM;
            case APPEND, PROMOTE, ADD_LEARNER -> COMMON;
            case REMOVE -> USUAL;
            case RESTART -> last.kind() == Kind.CRASH && last.member() == choice.member() ? COMMON : USUAL;
            case THAW, HEAL, RELEASE, RESUME_DISK, HAND_OVER -> USUAL;
            case DUPLICATE -> 2 * SELDOM;
            case DROP, SKEW, WIPE -> SELDOM;
            case CRASH, CUT, CUT_INBOUND, CUT_OUTBOUND, FREEZE, HOLD, STALL_DISK ->
                hurts(choice) ? SELDOM * AFTERMATH : SELDOM;
        };
    }

    /** Right after an append or a change, and the more so at the member that did it. */
    private boolean hurts(final Choice choice) {
        final boolean acted = last.kind() == Kind.APPEND
                || last.kind() == Kind.PROMOTE
                || last.kind() == Kind.REMOVE
                || last.kind() == Kind.ADD_LEARNER
                || last.kind() == Kind.HAND_OVER;
        return acted || (last.kind() == choice.kind() && last.member() != choice.member());
    }
}
