package brookpath.transport.identity;

/**
 * The identity of a process, as it is sent to the other end of each session.
 *
 * @param node its node number, which follows from its settings and may be used again by another machine
 * @param incarnation a random number drawn at the process's start
 * @param machine a random number drawn at the machine's first start, kept on its disk
 */
public record ProcessIdentity(int node, long incarnation, long machine) {}
