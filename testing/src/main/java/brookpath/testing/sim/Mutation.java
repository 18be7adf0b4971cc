package brookpath.testing.sim;

/** Ways to break the simulation on purpose, outside the production code, to see that a check fails. */
public enum Mutation {
    /** The disk says synced and has not. */
    NO_FSYNC
}
