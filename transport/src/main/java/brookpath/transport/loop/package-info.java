/**
 * Runs one {@link brookpath.coordination.node.Node} in a process. Three named threads do so, each with one job:
 *
 * <ul>
 *   <li>{@code state} ({@link brookpath.transport.loop.StateLoop}) owns the node: it applies events one by one and
 *       executes the actions that result;
 *   <li>{@code replication-listener} ({@link brookpath.transport.loop.HeartbeatLoop}) sends and answers heartbeats, so
 *       that a busy state thread does not look like a failed process;
 *   <li>{@code disk} ({@link brookpath.transport.loop.DiskLoop}) writes and syncs the write-ahead log.
 * </ul>
 *
 * <p>Traffic threads (Netty's and Jetty's) reach the node only through {@link brookpath.transport.loop.Host}.
 */
package brookpath.transport.loop;
