package brookpath.testing.sim;

import brookpath.coordination.action.Action;

/** Observes every action that the nodes of a simulated fleet or of the model execute, in order of execution. */
@FunctionalInterface
public interface ActionObserver {
    /** Ignores all actions. */
    ActionObserver NONE = (nowMs, node, action) -> {};

    /**
     * Called right before an action is executed.
     *
     * @param nowMs virtual time in milliseconds
     * @param node number of the node that executes it
     * @param action that is about to be executed; it must not be modified
     */
    void observe(long nowMs, int node, Action action);
}
