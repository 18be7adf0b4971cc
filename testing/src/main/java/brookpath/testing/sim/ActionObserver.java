package brookpath.testing.sim;

import brookpath.coordination.action.Action;

/** Sees every action that the nodes of a simulated fleet or of the model carry out, in the order of execution. */
@FunctionalInterface
public interface ActionObserver {
    /** Ignores all actions. */
    ActionObserver NONE = (nowMs, node, action) -> {};

    /**
     * Called right before an action is carried out.
     *
     * @param nowMs virtual time in milliseconds
     * @param node number of the node that carries it out
     * @param action that is about to be carried out; it must not be changed
     */
    void observe(long nowMs, int node, Action action);
}
