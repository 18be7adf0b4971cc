/**
 * The actions that decisions return instead of doing I/O. {@link brookpath.coordination.action.Action} is the sealed
 * family; {@link brookpath.coordination.action.Actions} collects them and belongs to one thread of one process. The
 * executor of the process (or the simulator) carries them out in their order.
 */
package brookpath.coordination.action;
