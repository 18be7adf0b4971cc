package brookpath.testing.oracle.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Whether the control plane answers while the core is settled: no machine of it has been stopped, started, frozen, cut
 * off, joined again, reset, slowed or had its clock stepped for a while.
 */
public final class Availability {
    /** The core is settled this long after the last disturbance. */
    public static final long SETTLE_MS = 4_000;
    /** In settled time a valid order has its final answer within this. */
    public static final long ACKNOWLEDGE_MS = 5_000;
    /** In settled time a controller that nothing ails serves a read at least this often. */
    public static final long READ_MS = 5_000;

    private final ControlViolations violations;
    private final Map<String, Long> openChanges = new HashMap<>();
    private final Map<Integer, Long> servedAt = new HashMap<>();
    private final Map<Integer, Long> exemptUntil = new HashMap<>();
    private long disturbedUntil;

    /** Adds what it finds to these violations. */
    public Availability(final ControlViolations violations) {
        this.violations = violations;
    }

    /** Trouble in the core that ends at this moment, now or later. */
    public void disturb(final long until) {
        disturbedUntil = Math.max(disturbedUntil, until);
    }

    /** This controller is down, frozen or cut off until then. */
    public void exempt(final int node, final long until) {
        exemptUntil.merge(node, until, Math::max);
    }

    /** Whether the core has been undisturbed for long enough that it must answer. */
    public boolean settled(final long now) {
        return now >= settledSince();
    }

    private long settledSince() {
        return disturbedUntil + SETTLE_MS;
    }

    /** A valid order is sent for the first time, or its time begins anew. */
    public void changeSent(final long now, final String order) {
        openChanges.put(order, now);
    }

    /** An order has its final answer, or its caller has been kept from hearing it. */
    public void changeAnswered(final String order) {
        openChanges.remove(order);
    }

    /** A controller has served a read. */
    public void served(final long now, final int node) {
        servedAt.put(node, now);
    }

    /** From time to time, with the controllers that run: is anything overdue? */
    public void watch(final long now, final Collection<Integer> controllers) {
        if (!settled(now)) {
            return;
        }
        for (final Iterator<Map.Entry<String, Long>> open =
                        openChanges.entrySet().iterator();
                open.hasNext(); ) {
            final Map.Entry<String, Long> order = open.next();
            final long since = Math.max(order.getValue(), settledSince());
            if (now - since > ACKNOWLEDGE_MS) {
                open.remove();
                violations.add(
                        now,
                        ControlRule.NOT_ANSWERED,
                        order.getKey() + " has no final answer, though the core was settled from " + since);
            }
        }
        for (final int node : controllers) {
            watchReads(now, node);
        }
    }

    private void watchReads(final long now, final int node) {
        final long exempted = exemptUntil.getOrDefault(node, 0L) + SETTLE_MS;
        final long since = Math.max(Math.max(exempted, settledSince()), servedAt.getOrDefault(node, 0L));
        if (now - since > READ_MS) {
            servedAt.put(node, now);
            violations.add(now, ControlRule.UNAVAILABLE, "controller " + node + " has served no read since " + since);
        }
    }
}
