package brookpath.testing.model;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/** Repeats schedules, and shortens those that break something. */
final class Schedule {
    private static final int REST = 1_000;
    private static final int MOST_REST = 60;

    private Schedule() {}

    /** Applies the choices that are possible where they stand, leaves out the others. */
    static Finding replay(final StartState start, final List<Choice> choices, final boolean rest) {
        return replay(start, choices, rest, (choice, world) -> {});
    }

    /** The same, and shows the world after each choice. */
    static Finding replay(
            final StartState start,
            final List<Choice> choices,
            final boolean rest,
            final BiConsumer<Choice, ModelWorld> watcher) {
        final List<Choice> done = new ArrayList<>();
        try {
            final ModelWorld world = start.create();
            for (final Choice choice : choices) {
                if (Choices.of(world).contains(choice)) {
                    done.add(choice);
                    world.apply(choice);
                    watcher.accept(choice, world);
                }
            }
            if (rest) {
                rest(world);
            }
            return null;
        } catch (final RuntimeException broken) {
            return new Finding(start, done, String.valueOf(broken.getMessage()));
        }
    }

    /** One line for each member: what it is and why. */
    static String describe(final ModelWorld world) {
        final StringBuilder text = new StringBuilder("at " + world.now);
        for (final ModelMember m : world.members) {
            final GroupMachine g = m.group;
            text.append("\n  ").append(m.id).append(m.runs() ? " " : " (not running) ");
            text.append("role ").append(g.role()).append(", epoch ").append(g.term());
            text.append(", accepted ").append(g.committed()).append(", synced ").append(g.syncedIndex());
            text.append(", end ").append(g.endIndex()).append(g.lost() ? ", lost" : "");
            text.append(g.mayAct(world.clock(m)) ? ", acts" : "")
                    .append(", hears ")
                    .append(g.leaderHeard());
            text.append(", voters ")
                    .append(g.members().stream().map(Member::node).toList());
            text.append(": ").append(g.why()).append("; ").append(g.obstacle());
        }
        return text.toString();
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
        world.flying.removeIf(ModelWorld.InFlight::late);
        for (int second = 0; second < MOST_REST && world.invariants.discord() != null; second++) {
            world.apply(Choice.run(REST));
        }
        final String discord = world.invariants.discord();
        if (discord != null) {
            throw new Violation(discord);
        }
        world.invariants.linearizable();
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
