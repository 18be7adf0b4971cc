package brookpath.testing.sim;

/** Ways to break the system on purpose, outside the production code, to see that a check attempts red. */
public enum Mutation {
    /** The disk says synced and has not. */
    NO_FSYNC
}
