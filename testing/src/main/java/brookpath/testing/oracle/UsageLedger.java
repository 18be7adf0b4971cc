package brookpath.testing.oracle;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Checks the usage that was reported to the platform, per window, against what the senders know, the true time, and the
 * totals that each controller holds.
 */
public final class UsageLedger {
    /** How far the fleet's clock may differ from the true time. */
    private static final long MAX_CLOCK_ERROR_MS = 1_000;

    /** A window is reported at most this long after its end. */
    private static final long MAX_REPORT_DELAY_MS = 10_000;

    private record Report(long publishes, long bytes, boolean late) {}

    private final History history;
    private final TreeMap<String, TreeMap<Long, Report>> reports = new TreeMap<>();
    private final TreeMap<String, String> totals = new TreeMap<>();
    private long firstEnd = Long.MAX_VALUE / 2;
    private int lateReports;
    private long latest;

    /** Checks against the messages in this history, and adds violations to it. */
    public UsageLedger(final History history) {
        this.history = history;
    }

    /**
     * Records a report that the platform received, with the true end of its window. A repeated report of the same
     * window must hold the same numbers.
     */
    public void reported(
            final long now,
            final String tenant,
            final long end,
            final long publishes,
            final long bytes,
            final boolean late) {
        final Report r = new Report(publishes, bytes, late);
        final Report other =
                reports.computeIfAbsent(tenant, k -> new TreeMap<>()).putIfAbsent(end, r);
        if (other == null) {
            firstEnd = Math.min(firstEnd, end);
            lateReports += late ? 1 : 0;
            latest = Math.max(latest, now - end);
            checkTotal(now, "the platform", tenant, end, publishes, bytes);
        } else if (!other.equals(r)) {
            history.violation(
                    now, "tenant " + tenant + " window ending " + end + " was reported as " + other + " and as " + r);
        }
    }

    /** Checks that all controllers hold the same totals of a window, whether it is reported yet or not. */
    public void checkTotal(
            final long now,
            final String where,
            final String tenant,
            final long end,
            final long publishes,
            final long bytes) {
        final String numbers = publishes + " publishes, " + bytes + " bytes";
        final String other = totals.putIfAbsent(tenant + "/" + end, numbers);
        if (other != null && !other.equals(numbers)) {
            history.violation(
                    now,
                    where + " has for tenant " + tenant + " window ending " + end + " a total of " + numbers
                            + ", another has " + other);
        }
    }

    /**
     * Checks that each window of each tenant is reported in time.
     *
     * @param exemptUntil until when the platform or the control plane was unavailable
     */
    public void checkInTime(final long now, final List<String> tenants, final long windowMs, final long exemptUntil) {
        for (long end = firstEnd; Math.max(end, exemptUntil) + MAX_REPORT_DELAY_MS < now; end += windowMs) {
            for (final String tenant : tenants) {
                if (reports.computeIfAbsent(tenant, k -> new TreeMap<>()).putIfAbsent(end, new Report(-1, -1, false))
                        == null) {
                    history.violation(
                            now,
                            "tenant " + tenant + " window ending " + end + " was not reported " + (now - end)
                                    + " ms after its end");
                }
            }
        }
    }

    /** How many windows were reported, over all tenants. */
    public int reports() {
        return reports.values().stream().mapToInt(TreeMap::size).sum();
    }

    /** How many reports are marked as containing late counts. */
    public int lateReports() {
        return lateReports;
    }

    /** The longest time from a window's end to its first report. */
    public long latest() {
        return latest;
    }

    /**
     * Checks the cumulative count window by window: up to each window no more is reported than had been sent, and no
     * less than had been committed, unless a later report is marked as containing late counts. In the end every
     * committed message is counted once.
     */
    public void settle(final long now, final String tenant, final Predicate<History.Sent> of) {
        final List<Long> sentAt = new ArrayList<>();
        final List<Long> committedAt = new ArrayList<>();
        for (final History.Sent s : history.sent()) {
            if (of.test(s) && (s.committedAt >= 0 || s.maybeAppended)) {
                sentAt.add(s.sentAt);
            }
            if (of.test(s) && s.committedAt >= 0) {
                committedAt.add(s.committedAt);
            }
        }
        final TreeMap<Long, Report> byWindow = reports.getOrDefault(tenant, new TreeMap<>());
        long reported = 0;
        for (final Map.Entry<Long, Report> entry : byWindow.entrySet()) {
            reported += Math.max(0, entry.getValue().publishes);
            checkWindow(now, tenant, entry.getKey(), reported, sentAt, committedAt);
        }
        if (reported < committedAt.size() || reported > sentAt.size()) {
            history.violation(
                    now,
                    "tenant " + tenant + " was reported " + reported + " publishes, had " + committedAt.size()
                            + " committed and at most " + sentAt.size() + " in the logs");
        }
    }

    private void checkWindow(
            final long now,
            final String tenant,
            final long end,
            final long reported,
            final List<Long> sentAt,
            final List<Long> committedAt) {
        final String through =
                "tenant " + tenant + " was reported " + reported + " publishes through the window ending " + end;
        final long most =
                sentAt.stream().filter(time -> time < end + MAX_CLOCK_ERROR_MS).count();
        if (reported > most) {
            history.violation(now, through + ", at most " + most + " had been sent by then");
        }
        final long least = committedAt.stream()
                .filter(time -> time < end - MAX_CLOCK_ERROR_MS)
                .count();
        final boolean comesLate =
                reports.get(tenant).tailMap(end, false).values().stream().anyMatch(report -> report.late);
        if (reported < least && !comesLate) {
            history.violation(
                    now,
                    through + ", " + least
                            + " were committed by then, and no later report is marked as containing late counts");
        }
    }
}
