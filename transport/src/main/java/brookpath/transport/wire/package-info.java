/**
 * Sessions between the processes of a cluster: dialling, identification, framing and the detection of dead peers.
 * {@link brookpath.transport.wire.Wire} owns the event loops and the table of peers,
 * {@link brookpath.transport.wire.Peer} the sessions with one node, and {@link brookpath.transport.wire.SessionHandler}
 * is the handler of one connection. Messages are delivered on Netty's threads, in order for each node; any thread may
 * send.
 */
package brookpath.transport.wire;
