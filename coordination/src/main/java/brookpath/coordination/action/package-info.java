/**
 * The actions that the decisions return instead of doing I/O. The executor of a process (or the simulator) carries them
 * out in their order.
 */
package brookpath.coordination.action;
