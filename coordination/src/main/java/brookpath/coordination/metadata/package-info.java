/**
 * Data that the control leader keeps in its log or learns from polls: storage nodes, controllers and topic groups with
 * their members ({@link brookpath.coordination.metadata.ClusterMetadata}), and the fleet's clock
 * ({@link brookpath.coordination.metadata.FleetClock}). Values here are immutable unless their class says otherwise.
 */
package brookpath.coordination.metadata;
