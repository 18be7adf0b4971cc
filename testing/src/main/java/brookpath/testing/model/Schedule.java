package brookpath.testing.model;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/** Replays schedules, and shortens those that violate an invariant. */
final class Schedule {
    private static final int SETTLE_STEP_MS = 1_000;
    private static final int MAX_SETTLE_SECONDS = 60;

    private Schedule() {}

    /** Applies each choice that is possible at its place in the schedule, and skips the others. */
    static Finding replay(final StartState start, final List<Choice> choices, final boolean healAndSettle) {
        return replay(start, choices, healAndSettle, (choice, world) -> {});
    }

    /** The same, calling the watcher after each applied choice. */
    static Finding replay(
            final StartState start,
            final List<Choice> choices,
            final boolean healAndSettle,
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
            if (healAndSettle) {
                healAndSettle(world);
            }
            return null;
        } catch (final RuntimeException broken) {
            return new Finding(start, done, String.valueOf(broken.getMessage()));
        }
    }

    /** One line for each member: its role, its log, and the reasons it gives for them. */
    static String describe(final ModelWorld world) {
        final StringBuilder text = new StringBuilder("at " + world.now);
        for (final ModelMember m : world.members) {
            final GroupMachine g = m.group;
            text.append("\n  ").append(m.id).append(m.runs() ? " " : " (not running) ");
            text.append("role ").append(g.role()).append(", term ").append(g.term());
            text.append(", committed ")
                    .append(g.committed())
                    .append(", synced ")
                    .append(g.syncedIndex());
            text.append(", end ").append(g.endIndex()).append(g.lost() ? ", lost" : "");
            text.append(g.mayAct(world.clock(m)) ? ", acts" : "")
                    .append(", hears leader ")
                    .append(g.leaderHeard());
            text.append(", voters ")
                    .append(g.members().stream().map(Member::node).toList());
            text.append(": ").append(g.why()).append("; ").append(g.obstacle());
        }
        return text.toString();
    }

    /** Ends all faults and waits: then the group must serve again, and all voters must have the same log. */
    static void healAndSettle(final ModelWorld world) {
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
        world.inFlight.removeIf(ModelWorld.InFlight::delayed);
        for (int second = 0; second < MAX_SETTLE_SECONDS && world.invariants.disagreement() != null; second++) {
            world.apply(Choice.run(SETTLE_STEP_MS));
        }
        final String disagreement = world.invariants.disagreement();
        if (disagreement != null) {
            throw new Violation(disagreement);
        }
        world.invariants.checkLinearizable();
    }

    /** Shortens a schedule while it keeps the same kind of violation, by leaving out ever smaller parts. */
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
