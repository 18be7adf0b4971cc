package brookpath.coordination.node.control;

/**
 * How topic groups are founded, and what they bear.
 *
 * @param groups how many; 0 for one per storage node that has polled
 * @param replicas of each group
 * @param storageNodes groups are founded once this many storage machines have come, and where the number of groups is
 *     left open, no more come
 * @param toleratedLosses how many machines may be lost at once
 */
public record GroupBootstrap(int groups, int replicas, int storageNodes, int toleratedLosses) {}
