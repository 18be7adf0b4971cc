/**
 * Usage reporting: the control leader totals the usage windows of all topic groups, records each total in the control
 * log, and posts it to the platform until that accepts it.
 */
package brookpath.coordination.node.usage;
