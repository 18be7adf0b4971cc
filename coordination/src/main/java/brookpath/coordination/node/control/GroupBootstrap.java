package brookpath.coordination.node.control;

/**
 * How topic groups are founded, and the losses that they tolerate.
 *
 * @param groups the number of groups; 0 for one per storage node that has polled
 * @param replicas the number of replicas of each group
 * @param storageNodes groups are founded once this many storage nodes have polled; where the number of groups is 0, not
 *     before new processes have stopped arriving
 * @param toleratedLosses how many nodes may be lost at once
 */
public record GroupBootstrap(int groups, int replicas, int storageNodes, int toleratedLosses) {}
