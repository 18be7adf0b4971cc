package brookpath.testing.model;

import java.util.ArrayList;
import java.util.List;

/**
 * One decision of an explored schedule. A start state and a list of choices repeat a run exactly.
 *
 * @param member the member that is meant, or the position of a message in flight, or 0
 * @param detail depends on the kind: milliseconds, what a crash keeps, a member to add or remove
 */
record Choice(Kind kind, int member, int detail) {
    /** What may be decided. */
    enum Kind {
        /** All members run for some milliseconds; what is neither cut, held, stalled nor frozen goes its way. */
        RUN,
        /** Time passes, but only this member sees it; what it sends stays in flight. */
        TICK,
        DELIVER,
        /** The message stays in flight until it is delivered by choice. */
        DELAY,
        /** A second copy of the message, which comes late. */
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
        /** Messages of the group to this member stay in flight; heartbeats are delivered. */
        HOLD,
        RELEASE,
        /** The member's clock gets ahead by a little. */
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

    /** Reads what {@link #toString} writes, separated by spaces. */
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
