package brookpath.transport.identity;

/**
 * The identity of a process, as it is sent to the peer at the start of each session.
 *
 * @param node its node number, which its settings assign and which another machine may use later
 * @param incarnation a random number drawn when the process starts
 * @param machine a random number drawn at the machine's first start and kept on its disk
 */
public record ProcessIdentity(int node, long incarnation, long machine) {}
