package brookpath.trial.model;

import java.util.ArrayList;
import java.util.List;

/** Repeats schedules, and shortens those that break something. */
final class Schedule {
    private static final int REST = 8_000;

    private Schedule() {}

    /** Applies the choices that are possible where they stand, leaves out the others. */
    static Finding replay(final StartState start, final List<Choice> choices, final boolean rest) {
        final List<Choice> done = new ArrayList<>();
        try {
            final ModelWorld world = start.create();
            for (final Choice choice : choices) {
                if (Choices.of(world).contains(choice)) {
                    done.add(choice);
                    world.apply(choice);
                }
            }
            if (rest) {
                rest(world);
            }
            return null;
        } catch (final Violation | IllegalStateException | IndexOutOfBoundsException broken) {
            return new Finding(start, done, String.valueOf(broken.getMessage()));
        }
    }

    /** Heals everything and waits: then the group must serve again, and all members must agree. */
    static void rest(final ModelWorld world) {
        for (final ModelMember m : world.members) {
            m.diskStalled = false;
            m.held = false;
            m.frozen = false;
            m.cutInbound = false;
            m.cutOutbound = false;
            if (!m.alive) {
                world.apply(Choice.of(Choice.Kind.RESTART, m.id));
            }
        }
        world.apply(Choice.run(REST));
        world.invariants.converged();
    }

    /** A shorter schedule with the same kind of violation: leaves out ever smaller parts. */
    static Finding shrink(final Finding found) {
        Finding best = found;
        for (int size = Math.max(1, best.choices().size() / 2); size >= 1; size /= 2) {
            for (int at = 0; at < best.choices().size(); ) {
                final List<Choice> fewer = new ArrayList<>(best.choices());
                fewer.subList(at, Math.min(fewer.size(), at + size)).clear();
                final Finding shorter = replay(best.start(), fewer, true);
                if (shorter != null
                        && shorter.kind().equals(best.kind())
                        && shorter.choices().size() < best.choices().size()) {
                    best = shorter;
                } else {
                    at += size;
                }
            }
        }
        return best;
    }
}
