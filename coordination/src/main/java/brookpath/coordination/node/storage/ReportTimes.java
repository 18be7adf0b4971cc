package brookpath.coordination.node.storage;

import java.util.TreeMap;

/** The time of the last report on each group; a report without effect is repeated after an interval. */
final class ReportTimes {
    private final TreeMap<Integer, Long> sentAtByGroup = new TreeMap<>();

    /** Whether no report on the group was sent within the interval, in milliseconds. */
    boolean isDue(final int group, final long intervalMs, final long now) {
        final Long sentAt = sentAtByGroup.get(group);
        return sentAt == null || now - sentAt >= intervalMs;
    }

    void sent(final int group, final long now) {
        sentAtByGroup.put(group, now);
    }
}
