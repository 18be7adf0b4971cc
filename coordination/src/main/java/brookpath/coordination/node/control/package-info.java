/**
 * The control plane on a controller. {@link brookpath.coordination.node.control.ControlLeader} owns the duties of the
 * leader: leases on the configuration, changes, retirements, cluster metadata, membership of the control group and
 * moves of topic groups. A controller that does not lead forwards polls and requests to the one that does. The
 * replicated state is in the control log; all else here is soft state, which a new leader rebuilds. All of it runs on
 * the state thread.
 */
package brookpath.coordination.node.control;
