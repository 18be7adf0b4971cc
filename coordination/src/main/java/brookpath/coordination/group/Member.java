package brookpath.coordination.group;

/** One member of a replication group. */
public record Member(int node, int weight, String zone) {}
