package brookpath.coordination.topic;

import brookpath.coordination.topic.TopicState.Count;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What each tenant has published, per usage window, and which windows the log has closed. */
final class UsageWindows {
    /** The maximum number of windows, and of closing records, that are kept. */
    private static final int MAX_WINDOWS = 360;

    /** The messages and bytes that a tenant has published. */
    private record Usage(long publishes, long bytes) {
        static final Usage NONE = new Usage(0, 0);

        Usage plus(final Usage other) {
            return new Usage(publishes + other.publishes, bytes + other.bytes);
        }
    }

    private final long windowMs;
    private final TreeMap<Long, TreeMap<String, Usage>> byWindow = new TreeMap<>();
    /** The position of each window's closing record. */
    private final TreeMap<Long, Long> closedAt = new TreeMap<>();

    UsageWindows(final long windowMs) {
        this.windowMs = windowMs;
    }

    /** The newest window whose closing record lies at or before the position; -1 for none. */
    long newestClosedWindow(final long position) {
        for (final Map.Entry<Long, Long> entry : closedAt.descendingMap().entrySet()) {
            if (entry.getValue() <= position) {
                return entry.getKey();
            }
        }
        return -1;
    }

    /** The counts of the windows after {@code after}, up to and including {@code upTo}. */
    List<Count> counts(final long after, final long upTo) {
        final List<Count> counts = new ArrayList<>();
        byWindow.subMap(after, false, upTo, true)
                .forEach((window, byTenant) -> byTenant.forEach(
                        (tenant, usage) -> counts.add(new Count(window, tenant, usage.publishes, usage.bytes))));
        return counts;
    }

    /**
     * Counts a message. A message whose timestamp lies in a closed window, since the leader's clock is slow, counts in
     * the first window that is open.
     */
    void add(final long stamp, final String tenant, final long bytes) {
        final long window = Math.max(stamp / windowMs, closedAt.isEmpty() ? 0 : closedAt.lastKey() + 1);
        add(window, tenant, new Usage(1, bytes));
    }

    private void add(final long window, final String tenant, final Usage usage) {
        final TreeMap<String, Usage> byTenant = byWindow.computeIfAbsent(window, k -> new TreeMap<>());
        byTenant.put(tenant, byTenant.getOrDefault(tenant, Usage.NONE).plus(usage));
        if (byWindow.size() > MAX_WINDOWS) {
            mergeOldest();
        }
    }

    /**
     * Adds the oldest window to the next one, so that nothing is lost however long the control plane is unavailable.
     */
    private void mergeOldest() {
        final TreeMap<String, Usage> oldest = byWindow.pollFirstEntry().getValue();
        oldest.forEach((tenant, usage) -> add(byWindow.firstKey(), tenant, usage));
    }

    void close(final long window, final long position) {
        closedAt.put(window, position);
        if (closedAt.size() > MAX_WINDOWS) {
            closedAt.pollFirstEntry();
        }
    }

    void save(final PackedBuffer buffer) {
        buffer.putLong(byWindow.size());
        byWindow.forEach((window, byTenant) -> {
            buffer.putLong(window).putLong(byTenant.size());
            byTenant.forEach((tenant, usage) ->
                    buffer.putString(tenant).putLong(usage.publishes).putLong(usage.bytes));
        });
        buffer.putLong(closedAt.size());
        closedAt.forEach((window, position) -> buffer.putLong(window).putLong(position));
    }

    void load(final PackedBuffer in) {
        byWindow.clear();
        closedAt.clear();
        for (long windows = in.getLong(); windows > 0; windows--) {
            final long window = in.getLong();
            for (long tenants = in.getLong(); tenants > 0; tenants--) {
                final String tenant = in.getString();
                final long publishes = in.getLong();
                final long bytes = in.getLong();
                add(window, tenant, new Usage(publishes, bytes));
            }
        }
        for (long closings = in.getLong(); closings > 0; closings--) {
            final long window = in.getLong();
            final long position = in.getLong();
            closedAt.put(window, position);
        }
    }
}
