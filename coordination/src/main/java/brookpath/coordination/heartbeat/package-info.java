/**
 * Heartbeats between processes: who is up, what each reports of its groups, and what an answer promises. The
 * replication listener thread owns {@link brookpath.coordination.heartbeat.HeartbeatMonitor}, and shares
 * {@link brookpath.coordination.heartbeat.HeartbeatPromises} and {@link brookpath.coordination.heartbeat.StatusHandoff}
 * with the state thread. {@link brookpath.coordination.heartbeat.HeartbeatTable} is an immutable snapshot, replaced as
 * a unit, that several threads read.
 */
package brookpath.coordination.heartbeat;
