package brookpath.tools.plan;

import brookpath.coordination.configuration.Finding;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** The result of a plan: its steps, which are printed at once, and the reasons why it would be refused. */
final class PlanReport {
    private final PrintStream out;
    private final List<Finding> objections = new ArrayList<>();

    PlanReport(final PrintStream out) {
        this.out = out;
    }

    void print(final String line) {
        out.println(line);
    }

    void object(final String place, final String reason) {
        objections.add(new Finding(place, reason));
    }

    void objectAll(final List<Finding> findings) {
        objections.addAll(findings);
    }

    /** Whether the planned operation would be refused. */
    boolean isRefused() {
        return !objections.isEmpty();
    }

    void printObjections() {
        objections.forEach(objection -> out.println("refused: " + objection));
    }
}
