package brookpath.testing.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All schedules up to a depth from a start state. Machines cannot be copied, so a state is reached again by its
 * choices; a state that was met before with as many steps left is not expanded again.
 */
final class Explorer {
    private final StartState start;
    private final long budget;
    private final Map<Long, Integer> seen = new HashMap<>();
    private final List<Choice> path = new ArrayList<>();
    private long steps;
    private Finding finding;

    /** @param budget of states to visit; what is beyond is not looked at */
    Explorer(final StartState start, final long budget) {
        this.start = start;
        this.budget = budget;
    }

    /** Visits everything up to the depth; the first broken schedule, or null. */
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

    private void expand(final ModelWorld world, final int left) {
        final List<Choice> choices = Choices.of(world);
        boolean fresh = true;
        for (final Choice choice : choices) {
            if (finding != null || steps >= budget) {
                return;
            }
            final ModelWorld next = fresh ? world : again();
            fresh = false;
            step(next, choice, left - 1);
        }
    }

    private void step(final ModelWorld world, final Choice choice, final int left) {
        steps++;
        path.add(choice);
        try {
            world.apply(choice);
            final Integer known = seen.get(StateHash.of(world));
            if (known == null || known < left) {
                seen.put(StateHash.of(world), left);
                if (left > 0) {
                    expand(world, left);
                }
            }
        } catch (final RuntimeException broken) {
            finding = new Finding(start, List.copyOf(path), String.valueOf(broken.getMessage()));
        }
        path.remove(path.size() - 1);
    }

    private ModelWorld again() {
        final ModelWorld world = start.create();
        path.forEach(world::apply);
        return world;
    }
}
