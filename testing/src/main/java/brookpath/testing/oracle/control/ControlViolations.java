package brookpath.testing.oracle.control;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The violations of the control plane's rules that were found. */
public final class ControlViolations {
    private static final int MAX_PER_RULE = 8;

    /** One violation of a rule, found at a time of the virtual clock. */
    public record Violation(long at, ControlRule rule, String text) {
        @Override
        public String toString() {
            return at + ": " + rule + ": " + text;
        }
    }

    private final List<Violation> violations = new ArrayList<>();
    private final Map<ControlRule, Integer> counts = new EnumMap<>(ControlRule.class);

    /** Records a violation; all are counted, and the first ones of each rule are kept with their text. */
    public void add(final long at, final ControlRule rule, final String text) {
        if (counts.merge(rule, 1, Integer::sum) <= MAX_PER_RULE) {
            violations.add(new Violation(at, rule, text));
        }
    }

    /** The first violations of each rule, in the order in which they were found. */
    public List<Violation> all() {
        return List.copyOf(violations);
    }

    /** How often each rule was violated. */
    public Map<ControlRule, Integer> counts() {
        return Map.copyOf(counts);
    }
}
