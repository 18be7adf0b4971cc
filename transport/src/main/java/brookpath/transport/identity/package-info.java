/**
 * Who a process is: {@link brookpath.transport.identity.ProcessIdentity} is its node number, incarnation and machine,
 * immutable; {@link brookpath.transport.identity.RandomNumbers} draws the random ones. Any thread may use both.
 */
package brookpath.transport.identity;
