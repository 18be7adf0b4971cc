package brookpath.testing.oracle.control;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The rules that were broken, when and how. */
public final class ControlViolations {
    private static final int MOST_PER_RULE = 8;

    /** One broken rule, as seen at a moment of virtual time. */
    public record Violation(long at, ControlRule rule, String text) {
        @Override
        public String toString() {
            return at + ": " + rule + ": " + text;
        }
    }

    private final List<Violation> violations = new ArrayList<>();
    private final Map<ControlRule, Integer> counts = new EnumMap<>(ControlRule.class);

    /** Notes a broken rule; all are counted, only the first ones of each rule are kept in words. */
    public void add(final long at, final ControlRule rule, final String text) {
        if (counts.merge(rule, 1, Integer::sum) <= MOST_PER_RULE) {
            violations.add(new Violation(at, rule, text));
        }
    }

    /** The first violations of each rule, in the order in which they were found. */
    public List<Violation> all() {
        return List.copyOf(violations);
    }

    /** How often each rule was broken. */
    public Map<ControlRule, Integer> counts() {
        return Map.copyOf(counts);
    }
}
