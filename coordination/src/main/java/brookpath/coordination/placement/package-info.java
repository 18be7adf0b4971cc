/**
 * Decides the placement of topic groups: {@link brookpath.coordination.placement.Placement} the first one,
 * {@link brookpath.coordination.placement.MovePlan} the later moves of replicas and leaderships, and
 * {@link brookpath.coordination.placement.StorageFailureDetector} which storage nodes are considered lost. All of it is
 * computed from the cluster metadata and from the times of the nodes' last polls; nothing is stored or sent.
 */
package brookpath.coordination.placement;
