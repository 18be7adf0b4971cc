package brookpath.testing.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks linearizability with Wing and Gong's search for a valid sequential order of all operations, and Lowe's
 * memoization of the states that lead to none. The object is a log: append adds a value at the end, read returns all.
 */
final class Linearizability {
    private static final int MAX_OPERATIONS = 64;

    /** Which operations are in the order so far, as a bit set, and the log that results from them. */
    private record Configuration(long placed, List<Long> log) {}

    private final List<Operation> operations;
    private final Set<Configuration> deadEnds = new HashSet<>();

    Linearizability(final List<Operation> operations) {
        if (operations.size() > MAX_OPERATIONS) {
            throw new IllegalArgumentException(operations.size() + " operations are too many to check");
        }
        this.operations = operations;
    }

    /** An error message, or null if a valid order exists. */
    String check() {
        return place(0, new ArrayList<>()) ? null : "the history is not linearizable: " + operations;
    }

    private boolean place(final long placed, final List<Long> log) {
        if (complete(placed)) {
            return true;
        }
        if (!deadEnds.add(new Configuration(placed, List.copyOf(log)))) {
            return false;
        }
        final long firstReturn = firstReturn(placed);
        for (int i = 0; i < operations.size(); i++) {
            final Operation op = operations.get(i);
            // an operation that was invoked after another had returned cannot precede it
            if ((placed & 1L << i) != 0 || op.invoked() > firstReturn) {
                continue;
            }
            if (!op.isAppend() && op.read().equals(log) && place(placed | 1L << i, log)) {
                return true;
            }
            if (op.isAppend() && appended(placed | 1L << i, log, op.value())) {
                return true;
            }
        }
        return false;
    }

    private boolean appended(final long placed, final List<Long> log, final long value) {
        log.add(value);
        final boolean found = place(placed, log);
        log.remove(log.size() - 1);
        return found;
    }

    private boolean complete(final long placed) {
        for (int i = 0; i < operations.size(); i++) {
            if ((placed & 1L << i) == 0 && !operations.get(i).isIndeterminate()) {
                return false;
            }
        }
        return true;
    }

    private long firstReturn(final long placed) {
        long first = Operation.INDETERMINATE;
        for (int i = 0; i < operations.size(); i++) {
            first = (placed & 1L << i) == 0 ? Math.min(first, operations.get(i).returned()) : first;
        }
        return first;
    }
}
