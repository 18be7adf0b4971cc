/**
 * Heartbeats between processes: who is up, what each tells of its groups, and what an answer promises. The table that
 * they make is an immutable snapshot, swapped whole, that several threads read.
 */
package brookpath.coordination.heartbeat;
