package brookpath.testing.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Explores all schedules up to a depth from a start state. State machines cannot be copied, so a state is restored by
 * replaying its choices. A state that was reached before with at least as many steps left is not expanded again.
 */
final class Explorer {
    private final StartState start;
    private final long budget;
    private final Map<Long, Integer> seen = new HashMap<>();
    private final List<Choice> path = new ArrayList<>();
    private long steps;
    private Finding finding;

    /** @param budget how many steps to take at most; the exploration stops there */
    Explorer(final StartState start, final long budget) {
        this.start = start;
        this.budget = budget;
    }

    /** Explores up to the depth; returns the first schedule that violates an invariant, or null. */
    Finding explore(final int depth) {
        try {
            final ModelWorld world = start.create();
            seen.put(StateHash.of(world), depth);
            expand(world, depth);
        } catch (final RuntimeException broken) {
            finding = new Finding(start, List.of(), String.valueOf(broken.getMessage()));
        }
        return finding;
    }

    long steps() {
        return steps;
    }

    int states() {
        return seen.size();
    }

    boolean complete() {
        return steps < budget;
    }

    private void expand(final ModelWorld world, final int depthLeft) {
        final List<Choice> choices = Choices.of(world);
        boolean unchanged = true;
        for (final Choice choice : choices) {
            if (finding != null || steps >= budget) {
                return;
            }
            final ModelWorld next = unchanged ? world : replayPath();
            unchanged = false;
            step(next, choice, depthLeft - 1);
        }
    }

    private void step(final ModelWorld world, final Choice choice, final int depthLeft) {
        steps++;
        path.add(choice);
        try {
            world.apply(choice);
            final Integer known = seen.get(StateHash.of(world));
            if (known == null || known < depthLeft) {
                seen.put(StateHash.of(world), depthLeft);
                if (depthLeft > 0) {
                    expand(world, depthLeft);
                }
            }
        } catch (final RuntimeException broken) {
            finding = new Finding(start, List.copyOf(path), String.valueOf(broken.getMessage()));
        }
        path.remove(path.size() - 1);
    }

    private ModelWorld replayPath() {
        final ModelWorld world = start.create();
        path.forEach(world::apply);
        return world;
    }
}
