package brookpath.testing.oracle.control;

import java.util.Collection;

/**
 * All that callers of the control plane saw in a day, and whether it may be so. Knows nothing of the system's insides.
 */
public final class ControlHistory {
    /** Every broken rule. */
    public final ControlViolations violations = new ControlViolations();
    /** Changes and reads of the configuration. */
    public final ChangeHistory changes = new ChangeHistory(violations);
    /** Retirements of machines. */
    public final RetireHistory retirements = new RetireHistory(violations);
    /** Which call each answer belongs to. */
    public final CallHistory calls = new CallHistory(violations);
    /** Calls that had to be answered in time. */
    public final Availability availability = new Availability(violations);

    /** From time to time, with the controllers that run. */
    public void watch(final long now, final Collection<Integer> controllers) {
        availability.watch(now, controllers);
        retirements.watch(now, availability.settled(now));
    }

    /** At the end of the day. */
    public void settle() {
        changes.settle();
    }
}
