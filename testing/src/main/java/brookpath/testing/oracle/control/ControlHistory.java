package brookpath.testing.oracle.control;

import java.util.Collection;

/**
 * Records what callers of the control plane saw in a run and checks that it is valid, without knowledge of the system's
 * internal state.
 */
public final class ControlHistory {
    /** The violations of all rules. */
    public final ControlViolations violations = new ControlViolations();
    /** Checks changes and reads of the configuration. */
    public final ChangeHistory changes = new ChangeHistory(violations);
    /** Checks retirements of machines. */
    public final RetireHistory retirements = new RetireHistory(violations);
    /** Checks that answers match their calls. */
    public final CallHistory calls = new CallHistory(violations);
    /** Checks that calls are answered in time. */
    public final Availability availability = new Availability(violations);

    /** Checks time limits; called periodically with the running controllers. */
    public void watch(final long now, final Collection<Integer> controllers) {
        availability.watch(now, controllers);
        retirements.watch(now, availability.settled(now));
    }

    /** Runs the checks that are possible only at the end of a run. */
    public void settle() {
        changes.settle();
    }
}
