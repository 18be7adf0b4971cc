/**
 * The decision logic of a process: replication groups, heartbeats, configuration, placement and the node roles. This
 * package itself holds {@link brookpath.coordination.TimingBounds}, from which all periods and deadlines are derived;
 * it is immutable, and any thread may read it.
 *
 * <p>The code in the packages below takes an event and the current time, and returns its effects as
 * {@link brookpath.coordination.action.Action}s. The state thread of the process owns its state; only heartbeats are
 * handled by the replication listener thread.
 */
package brookpath.coordination;
