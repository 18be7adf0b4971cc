/**
 * Deterministic simulation of a whole fleet in virtual time: production nodes run on simulated processes, disks and
 * links, with callers, operators, a stand-in for the users' platform, and faults. A run is called a day.
 *
 * <p>{@link brookpath.testing.sim.SimulatedCluster} owns virtual time and the processes;
 * {@link brookpath.testing.sim.SimulatedDay} simulates a day of the whole fleet and
 * {@link brookpath.testing.sim.ControlDay} one of the control plane. A run with the same seed repeats the same history:
 * all random numbers come from the cluster's generator, and no decision reads the real time.
 */
package brookpath.testing.sim;
