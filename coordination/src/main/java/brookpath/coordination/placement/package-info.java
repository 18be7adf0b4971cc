/**
 * Decides where topic groups lie: the first placement, the moves of replicas afterwards, and which storage nodes are
 * taken for lost. Everything here follows from the cluster metadata and from when nodes were heard last; nothing is
 * stored and nothing is sent.
 */
package brookpath.coordination.placement;
