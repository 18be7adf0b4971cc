package brookpath.testing.model;

import java.util.List;

/** A schedule that violates an invariant. */
record Finding(StartState start, List<Choice> choices, String violation) {
    /** The kind of violation: its text without the numbers. */
    String kind() {
        return violation.replaceAll(";(.|\\n)*|[0-9\\[\\], ]+", " ");
    }

    @Override
    public String toString() {
        final StringBuilder text = new StringBuilder(violation)
                .append(" (")
                .append(choices.size())
                .append(" choices from ")
                .append(start)
                .append(":");
        choices.forEach(choice -> text.append(' ').append(choice));
        return text.append(')').toString();
    }
}
