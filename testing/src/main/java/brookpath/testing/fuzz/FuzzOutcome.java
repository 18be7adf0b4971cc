package brookpath.testing.fuzz;

import java.util.List;

/**
 * The result of one run.
 *
 * @param seed of the run
 * @param violations of the group's rules, each with its virtual time in milliseconds; empty for none
 * @param committed how many records were committed
 * @param leaders how many leaders were elected
 * @param crashes power failures of members
 * @param changes membership changes that were appended
 * @param trace one line for each state transition of a member
 */
public record FuzzOutcome(
        long seed,
        List<String> violations,
        long committed,
        int leaders,
        int crashes,
        int changes,
        List<String> trace) {}
