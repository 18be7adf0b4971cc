/**
 * Facts about the cluster that the control leader keeps in its log or knows from polls: storage nodes, controllers,
 * topic groups with their members ({@link brookpath.coordination.metadata.ClusterMetadata}), and the fleet's clock.
 * Values here are immutable unless their class says otherwise.
 */
package brookpath.coordination.metadata;
