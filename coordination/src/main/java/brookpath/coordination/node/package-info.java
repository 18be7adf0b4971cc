/**
 * The process roles as state machines: {@link brookpath.coordination.node.ControllerNode},
 * {@link brookpath.coordination.node.StorageNode} and {@link brookpath.coordination.node.GatewayNode}. A
 * {@link brookpath.coordination.node.Node} owns the state of its process and dispatches each event to the parts in the
 * subpackages. Events come one at a time on the state thread, each with its time, and return the actions to carry out:
 * no clock, I/O or thread here. Only {@link brookpath.coordination.node.Node#promises()} is shared with another thread.
 */
package brookpath.coordination.node;
