/**
 * The control plane on a controller. {@link brookpath.coordination.node.control.ControlLeader} owns the duties of the
 * leader: leases on the configuration, changes, retirements, cluster metadata, membership of the control group and
 * moves of topic groups. A controller that does not lead forwards polls and requests to the one that does.
 */
package brookpath.coordination.node.control;
