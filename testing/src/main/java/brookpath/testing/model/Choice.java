package brookpath.testing.model;

import java.util.ArrayList;
import java.util.List;

/**
 * One step of a schedule. A start state and a list of choices reproduce a run exactly.
 *
 * @param member the member concerned, or the position of a message in the list of those in flight, or 0
 * @param detail depends on the kind: milliseconds, what survives a crash, a member to add or remove
 */
record Choice(Kind kind, int member, int detail) {
    /** The kinds of steps. */
    enum Kind {
        /**
         * All members run for some milliseconds. Messages are delivered and disks synced unless a cut, a hold, a stall
         * or a freeze prevents it.
         */
        RUN,
        /** Time passes and only this member's timers run; what it sends stays in flight. */
        TICK,
        DELIVER,
        /** The message stays in flight until a {@link #DELIVER} step delivers it. */
        DELAY,
        /** Adds a second copy of the message, delayed as by {@link #DELAY}. */
        DUPLICATE,
        DROP,
        SYNC,
        STALL_DISK,
        RESUME_DISK,
        CRASH,
        RESTART,
        WIPE,
        CUT,
        CUT_INBOUND,
        CUT_OUTBOUND,
        HEAL,
        FREEZE,
        THAW,
        /** All messages to this member except heartbeats stay in flight. */
        HOLD,
        RELEASE,
        /** The member's clock is set forward by a small step. */
        SKEW,
        APPEND,
        ADD_LEARNER,
        PROMOTE,
        REMOVE,
        HAND_OVER
    }

    static final int KEEP_NOTHING = 0;
    static final int KEEP_FIRST = 1;
    static final int KEEP_ALL = 2;

    static Choice of(final Kind kind, final int member) {
        return new Choice(kind, member, 0);
    }

    static Choice run(final int milliseconds) {
        return new Choice(Kind.RUN, 0, milliseconds);
    }

    /** Parses choices in the format of {@link #toString}, separated by spaces. */
    static List<Choice> parse(final String text) {
        final List<Choice> choices = new ArrayList<>();
        for (final String word : text.trim().split(" ")) {
            final String[] parts = word.split(":");
            choices.add(new Choice(Kind.valueOf(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2])));
        }
        return choices;
    }

    @Override
    public String toString() {
        return kind + ":" + member + ":" + detail;
    }
}
