package brookpath.transport.identity;

/**
 * Who a process is, as the other end of each session is told.
 *
 * @param node its node number, which follows from its settings and may be used again by another machine
 * @param life a random number drawn at the process's start
 * @param machine a random number drawn at the machine's first start, kept on its disk
 */
public record ProcessIdentity(int node, long life, long machine) {}
