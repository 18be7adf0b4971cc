/**
 * The replicated state of the control group: what follows from the records of its log. Every member of the group
 * applies the same records in the same order and so has the same state.
 */
package brookpath.coordination.controllog;
