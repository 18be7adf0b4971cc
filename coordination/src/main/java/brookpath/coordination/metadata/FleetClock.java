package brookpath.coordination.metadata;

import java.util.Arrays;
import java.util.Set;
import java.util.TreeMap;

/**
 * The fleet's clock: the median of the wall clocks that the control leader receives. Usage windows are closed and
 * totalled by it, so that a single wrong clock cannot make a report late or early. Not thread-safe.
 */
public final class FleetClock {
    private static final int ENOUGH = 3;

    /** The wall clock of each node minus this process's monotonic clock, in milliseconds. */
    private final TreeMap<Integer, Long> ahead = new TreeMap<>();

    /**
     * Records a node's clock.
     *
     * @param wall the node's wall clock, in milliseconds since the epoch
     * @param mono this process's monotonic clock at that moment, in milliseconds
     */
    public void update(final int node, final long wall, final long mono) {
        ahead.put(node, wall - mono);
    }

    /** Removes the clocks of all other nodes. */
    public void retainOnly(final Set<Integer> nodes) {
        ahead.keySet().retainAll(nodes);
    }

    /** Removes all clocks. */
    public void clear() {
        ahead.clear();
    }

    /** Whether enough clocks are known that a single wrong one cannot be the median. */
    public boolean isKnown() {
        return ahead.size() >= ENOUGH;
    }

    /**
     * The fleet's time at a moment of this process's monotonic clock, in milliseconds since the epoch; call only where
     * it is {@link #isKnown}.
     */
    public long wall(final long mono) {
        final long[] sorted = ahead.values().stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(sorted);
        return mono + sorted[(sorted.length - 1) / 2];
    }
}
