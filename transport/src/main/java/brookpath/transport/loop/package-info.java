/**
 * Runs one {@link brookpath.coordination.node.Node} in a process, on three named threads:
 *
 * <ul>
 *   <li>{@code state} ({@link brookpath.transport.loop.StateLoop}) owns the node: it applies events one at a time and
 *       executes the resulting actions;
 *   <li>{@code replication-listener} ({@link brookpath.transport.loop.HeartbeatLoop}) sends and answers heartbeats, so
 *       that a busy state thread does not look like a failed process;
 *   <li>{@code disk} ({@link brookpath.transport.loop.DiskLoop}) writes and syncs the write-ahead log.
 * </ul>
 *
 * <p>Traffic threads (Netty's and Jetty's) reach the node only through {@link brookpath.transport.loop.Host}.
 */
package brookpath.transport.loop;
