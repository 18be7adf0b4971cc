/**
 * The identity of a process: {@link brookpath.transport.identity.ProcessIdentity} is its node number, incarnation and
 * machine, immutable; {@link brookpath.transport.identity.RandomNumbers} draws the random numbers among them. Any
 * thread may use both.
 */
package brookpath.transport.identity;
