/**
 * Usage reporting: the control leader totals the usage windows of all topic groups, records each total in the control
 * log, and posts it to the platform until the platform accepts it.
 * {@link brookpath.coordination.node.usage.UsageReporter} owns the reported windows and the posts in flight, as soft
 * state of the leader, on the state thread.
 */
package brookpath.coordination.node.usage;
