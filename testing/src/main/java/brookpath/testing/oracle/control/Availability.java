package brookpath.testing.oracle.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Checks that the control plane answers while the core is settled, which means that for {@link #SETTLE_MS} none of its
 * machines was stopped, started, frozen, cut off, reconnected, reset, slowed or had its clock stepped.
 */
public final class Availability {
    /** The core is settled this long after the last disturbance. */
    public static final long SETTLE_MS = 4_000;
    /** While the core is settled, a valid change gets its final answer within this time. */
    public static final long ACKNOWLEDGE_MS = 5_000;
    /** While the core is settled, a controller without a fault serves a read at least this often. */
    public static final long READ_MS = 5_000;

    private final ControlViolations violations;
    private final Map<String, Long> openChanges = new HashMap<>();
    private final Map<Integer, Long> servedAt = new HashMap<>();
    private final Map<Integer, Long> exemptUntil = new HashMap<>();
    private long disturbedUntil;

    /** Adds the violations that it finds to these. */
    public Availability(final ControlViolations violations) {
        this.violations = violations;
    }

    /** Records a disturbance of the core that ends at this time, which may lie in the future. */
    public void disturb(final long until) {
        disturbedUntil = Math.max(disturbedUntil, until);
    }

    /** Records that this controller is down, frozen or cut off until then. */
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

    /** Records that a valid change is sent for the first time, or restarts its time limit. */
    public void changeSent(final long now, final String changeId) {
        openChanges.put(changeId, now);
    }

    /** Records that a change got its final answer, or that the answer cannot reach its caller. */
    public void changeAnswered(final String changeId) {
        openChanges.remove(changeId);
    }

    /** Records that a controller has served a read. */
    public void served(final long now, final int node) {
        servedAt.put(node, now);
    }

    /** Checks whether an answer or a read is overdue; called periodically with the running controllers. */
    public void watch(final long now, final Collection<Integer> controllers) {
        if (!settled(now)) {
            return;
        }
        for (final Iterator<Map.Entry<String, Long>> open =
                        openChanges.entrySet().iterator();
                open.hasNext(); ) {
            final Map.Entry<String, Long> change = open.next();
            final long since = Math.max(change.getValue(), settledSince());
            if (now - since > ACKNOWLEDGE_MS) {
                open.remove();
                violations.add(
                        now,
                        ControlRule.NOT_ANSWERED,
                        change.getKey() + " has no final answer, although the core was settled from " + since);
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
