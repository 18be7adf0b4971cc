package brookpath.coordination.metadata;

import java.util.Arrays;
import java.util.Set;
import java.util.TreeMap;

/**
 * The fleet's clock: the middle one of the clocks that the control leader hears. Windows are closed and totalled by it,
 * so that no single machine's wrong clock makes a report late or early.
 */
public final class FleetClock {
    private static final int ENOUGH = 3;

    /** Per node, its wall clock less our monotonic one. */
    private final TreeMap<Integer, Long> ahead = new TreeMap<>();

    /**
     * Notes a node's clock.
     *
     * @param wall the node's wall clock, in milliseconds since the epoch
     * @param mono this process's monotonic clock at that moment, in milliseconds
     */
    public void hear(final int node, final long wall, final long mono) {
        ahead.put(node, wall - mono);
    }

    /** Forgets the clocks of all other nodes. */
    public void keep(final Set<Integer> nodes) {
        ahead.keySet().retainAll(nodes);
    }

    /** Forgets all clocks. */
    public void clear() {
        ahead.clear();
    }

    /** Whether enough clocks were heard that one wrong one cannot be the middle. */
    public boolean known() {
        return ahead.size() >= ENOUGH;
    }

    /** The fleet's time at a moment of this process's monotonic clock, in milliseconds; only where it is known. */
    public long wall(final long mono) {
        final long[] sorted = ahead.values().stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(sorted);
        return mono + sorted[(sorted.length - 1) / 2];
    }
}
