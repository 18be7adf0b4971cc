/**
 * The replicated state of the control group: {@link brookpath.coordination.controllog.ControlState} applies the records
 * of its log. Every member of the group applies the same records in the same order, and so has the same state. Each
 * process owns its own replica of it and uses it on the state thread only.
 */
package brookpath.coordination.controllog;
