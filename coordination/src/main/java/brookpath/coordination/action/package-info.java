/**
 * The actions that decision logic returns instead of performing I/O. {@link brookpath.coordination.action.Action} is
 * their sealed type; {@link brookpath.coordination.action.Actions} collects them and belongs to one thread of one
 * process. The executor of the process, or the simulator, carries them out in order.
 */
package brookpath.coordination.action;
