package brookpath.testing.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** Latencies and event counts measured by the simulated callers. Thread-safe. */
final class Measurements {
    private static final long MAX_LATENCY_US = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double MICROS_PER_MILLI = 1_000.0;

    /** The required 99th percentile of the time from publish to delivery; the required maximum follows. */
    private static final double DELIVERY_P99_US = 150_000.0;

    private static final double DELIVERY_MAX_US = 2_000_000.0;

    private final Histogram deliveryLatency = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    private final Histogram commitLatency = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    private final TreeMap<String, Integer> counts = new TreeMap<>();
    /** The topics of the committed messages, by the time of the commit in milliseconds. */
    private final TreeMap<Long, List<String>> committedTopics = new TreeMap<>();

    private int lateDeliveries;

    synchronized void count(final String event) {
        counts.merge(event, 1, Integer::sum);
    }

    synchronized void committed(final String topic, final long latencyNanos, final long now) {
        commitLatency.recordValue(latencyNanos / NANOS_PER_MICRO);
        committedTopics.computeIfAbsent(now, k -> new ArrayList<>()).add(topic);
    }

    synchronized void delivered(final long latencyNanos) {
        final long micros = latencyNanos / NANOS_PER_MICRO;
        if (micros > DELIVERY_MAX_US) {
            lateDeliveries++;
        }
        deliveryLatency.recordValue(Math.min(MAX_LATENCY_US, micros));
    }

    /** Resets the latencies so far, so that the warm-up is not measured. */
    synchronized void reset() {
        deliveryLatency.reset();
        commitLatency.reset();
    }

    /** Milliseconds from the given time to the next commit on an affected topic; -1 if there was none. */
    synchronized long gapAfter(final long time, final Predicate<String> affected) {
        for (final Map.Entry<Long, List<String>> entry :
                committedTopics.tailMap(time + 1).entrySet()) {
            if (entry.getValue().stream().anyMatch(affected)) {
                return entry.getKey() - time;
            }
        }
        return -1;
    }

    synchronized String report(final String profile, final int committed, final int delivered) {
        return String.format(
                "%s: committed %d, delivered %d, %d of them more than 2 s after publish; publish-to-delivery ms median %.1f p99 %.1f max %.1f (p99 %.2f of 150 ms, max %.2f of 2 s); "
                        + "publish-to-commit ms median %.1f p99 %.1f max %.1f; %s",
                profile,
                committed,
                delivered,
                lateDeliveries,
                deliveryLatency.getValueAtPercentile(50) / MICROS_PER_MILLI,
                deliveryLatency.getValueAtPercentile(99) / MICROS_PER_MILLI,
                deliveryLatency.getMaxValue() / MICROS_PER_MILLI,
                deliveryLatency.getValueAtPercentile(99) / DELIVERY_P99_US,
                deliveryLatency.getMaxValue() / DELIVERY_MAX_US,
                commitLatency.getValueAtPercentile(50) / MICROS_PER_MILLI,
                commitLatency.getValueAtPercentile(99) / MICROS_PER_MILLI,
                commitLatency.getMaxValue() / MICROS_PER_MILLI,
                counts);
    }
}
