/**
 * Heartbeats between processes: which are up, what each reports of its groups, and what answering a heartbeat promises.
 * The replication listener thread owns {@link brookpath.coordination.heartbeat.HeartbeatMonitor}, and shares
 * {@link brookpath.coordination.heartbeat.HeartbeatPromises} and {@link brookpath.coordination.heartbeat.StatusHandoff}
 * with the state thread. {@link brookpath.coordination.heartbeat.HeartbeatTable} is an immutable snapshot, replaced as
 * a whole, that several threads read.
 */
package brookpath.coordination.heartbeat;
