package brookpath.testing.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** What the callers measured: latencies, and how often what happened. Safe for use by several threads. */
final class Measurements {
    private static final long MAX_LATENCY_US = 60_000_000;
    private static final int DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double MICROS_PER_MILLI = 1_000.0;

    /** Bounds of the brief, from publish to delivery. */
    private static final double DELIVERY_P99_US = 150_000.0;

    private static final double DELIVERY_MAX_US = 2_000_000.0;

    private final Histogram delivery = new Histogram(MAX_LATENCY_US, DIGITS);
    private final Histogram acceptance = new Histogram(MAX_LATENCY_US, DIGITS);
    private final TreeMap<String, Integer> counts = new TreeMap<>();
    /** The topics of the committed messages, by the time of acceptance in milliseconds. */
    private final TreeMap<Long, List<String>> committedTopics = new TreeMap<>();

    private int late;

    synchronized void count(final String event) {
        counts.merge(event, 1, Integer::sum);
    }

    synchronized void committed(final String topic, final long latencyNanos, final long now) {
        acceptance.recordValue(latencyNanos / NANOS_PER_MICRO);
        committedTopics.computeIfAbsent(now, k -> new ArrayList<>()).add(topic);
    }

    synchronized void delivered(final long latencyNanos) {
        final long micros = latencyNanos / NANOS_PER_MICRO;
        if (micros > DELIVERY_MAX_US) {
            late++;
        }
        delivery.recordValue(Math.min(MAX_LATENCY_US, micros));
    }

    /** Forgets the latencies so far, so that a warm-up is not measured. */
    synchronized void reset() {
        delivery.reset();
        acceptance.reset();
    }

    /** How long after the given time the next acceptance on an affected topic came; -1 for never. */
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
                "%s: accepted %d, delivered %d, %d of them to listeners after more than 2 s; publish-to-delivery ms median %.1f p99 %.1f max %.1f (p99 %.2f of 150 ms, max %.2f of 2 s); "
                        + "acceptance ms median %.1f p99 %.1f max %.1f; %s",
                profile,
                committed,
                delivered,
                late,
                delivery.getValueAtPercentile(50) / MICROS_PER_MILLI,
                delivery.getValueAtPercentile(99) / MICROS_PER_MILLI,
                delivery.getMaxValue() / MICROS_PER_MILLI,
                delivery.getValueAtPercentile(99) / DELIVERY_P99_US,
                delivery.getMaxValue() / DELIVERY_MAX_US,
                acceptance.getValueAtPercentile(50) / MICROS_PER_MILLI,
                acceptance.getValueAtPercentile(99) / MICROS_PER_MILLI,
                acceptance.getMaxValue() / MICROS_PER_MILLI,
                counts);
    }
}
