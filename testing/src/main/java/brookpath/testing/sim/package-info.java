/**
 * Simulated days: a whole fleet in virtual time in which production nodes run on simulated processes, disks and links,
 * with callers, operators, a stand-in for the users' platform, and faults.
 *
 * <p>{@link brookpath.testing.sim.SimulatedCluster} owns virtual time and the processes;
 * {@link brookpath.testing.sim.SimulatedDay} plays a day of the whole fleet and
 * {@link brookpath.testing.sim.ControlDay} one of the control plane. One seed gives one history, always the same: all
 * random numbers come from the cluster's generator, and nothing reads a clock.
 */
package brookpath.testing.sim;
