package brookpath.testing.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Wing and Gong's search for an order of all operations that one log could have given, with a memo of the states that
 * lead nowhere (Lowe). The object: append adds a value at the end, read gives all values.
 */
final class Linearizability {
    private static final int MOST_OPERATIONS = 64;

    /** Which operations are placed and what the log holds then. */
    private record Configuration(long placed, List<Long> log) {}

    private final List<Operation> operations;
    private final Set<Configuration> deadEnds = new HashSet<>();

    Linearizability(final List<Operation> operations) {
        if (operations.size() > MOST_OPERATIONS) {
            throw new IllegalArgumentException(operations.size() + " operations");
        }
        this.operations = operations;
    }

    /** What is wrong, or null where an order exists. */
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
            // Why: what began after another's end cannot come before it.
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
            if ((placed & 1L << i) == 0 && !operations.get(i).isUnclear()) {
                return false;
            }
        }
        return true;
    }

    private long firstReturn(final long placed) {
        long first = Operation.UNCLEAR;
        for (int i = 0; i < operations.size(); i++) {
            first = (placed & 1L << i) == 0 ? Math.min(first, operations.get(i).returned()) : first;
        }
        return first;
    }
}
