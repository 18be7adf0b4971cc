package brookpath.coordination.group;

/**
 * One member of a replication group.
 *
 * @param weight its rank in elections, as a tie-break between equal logs; the larger node number decides between equal
 *     weights
 */
public record Member(int node, int weight, String zone) {}
