package brookpath.coordination.metadata;

import java.util.Arrays;
import java.util.Set;
import java.util.TreeMap;

/**
 * The fleet's clock: the median of the wall clocks that nodes report to the control leader. It determines when usage
 * windows are closed and totalled, so that a single wrong clock cannot make a report late or early. Not thread-safe.
 */
public final class FleetClock {
    private static final int MIN_CLOCKS = 3;

    /** The wall clock of each node minus this process's monotonic clock, in milliseconds. */
    private final TreeMap<Integer, Long> offsets = new TreeMap<>();

    /**
     * Records a node's clock.
     *
     * @param wall the node's wall clock, in milliseconds since the epoch
     * @param mono this process's monotonic clock at that moment, in milliseconds
     */
    public void update(final int node, final long wall, final long mono) {
        offsets.put(node, wall - mono);
    }

    /** Removes the clocks of all nodes but these. */
    public void retainOnly(final Set<Integer> nodes) {
        offsets.keySet().retainAll(nodes);
    }

    /** Removes all clocks. */
    public void clear() {
        offsets.clear();
    }

    /** Whether enough clocks are known that a single wrong one cannot be the median. */
    public boolean isKnown() {
        return offsets.size() >= MIN_CLOCKS;
    }

    /**
     * The fleet's time at this time of the process's monotonic clock, in milliseconds since the epoch. Must only be
     * called if {@link #isKnown}.
     */
    public long wall(final long mono) {
        final long[] sorted =
                offsets.values().stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(sorted);
        return mono + sorted[(sorted.length - 1) / 2];
    }
}
