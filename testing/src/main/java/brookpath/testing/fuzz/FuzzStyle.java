package brookpath.testing.fuzz;

import java.util.List;

/**
 * How the network and the members of one run behave.
 *
 * @param members founding members of the group
 * @param dropPerThousand messages lost, of a thousand
 * @param maxDelayMs longest delay of a message, in milliseconds
 * @param faultIntervalMs mean time between two faults, in milliseconds
 * @param lengthMs length of the run in virtual time, in milliseconds
 * @param lagPerThousand how often a thread sees the other thread's state late, of a thousand
 * @param maxLagMs longest such lag, in milliseconds
 * @param spares nodes that are not members at first; if there are any, the leaders change the membership
 */
public record FuzzStyle(
        int members,
        int dropPerThousand,
        long maxDelayMs,
        long faultIntervalMs,
        long lengthMs,
        int lagPerThousand,
        int maxLagMs,
        int spares) {

    /** Every style that a sweep runs. */
    public static final List<FuzzStyle> ALL = List.of(
            new FuzzStyle(3, 30, 400, 900, 60_000, 30, 40, 0),
            new FuzzStyle(5, 100, 1_500, 500, 60_000, 30, 40, 0),
            new FuzzStyle(3, 5, 3_000, 2_500, 60_000, 30, 40, 0),
            new FuzzStyle(5, 250, 300, 1_500, 60_000, 30, 40, 0),
            // Long lags between threads, with freezes about as long as the detection time, reveal where one thread
            // wrongly relies on the other's state being current.
            new FuzzStyle(3, 0, 3, 700, 60_000, 300, 200, 0),
            new FuzzStyle(5, 50, 300, 150, 30_000, 30, 40, 0),
            new FuzzStyle(3, 20, 300, 900, 60_000, 30, 40, 2),
            new FuzzStyle(3, 60, 800, 400, 60_000, 30, 40, 3),
            new FuzzStyle(4, 30, 300, 600, 60_000, 30, 40, 2));
}
