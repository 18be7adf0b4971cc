package brookpath.testing.fuzz;

import java.util.List;

/**
 * What one run came to.
 *
 * @param seed of the run
 * @param violations of the group's rules, each with its virtual time in milliseconds; empty for none
 * @param committed records
 * @param leaders elected
 * @param crashes of members
 * @param changes of the membership that were appended
 * @param trace one line a transition of a member
 */
public record FuzzOutcome(
        long seed,
        List<String> violations,
        long committed,
        int leaders,
        int crashes,
        int changes,
        List<String> trace) {}
