package brookpath.testing.sim;

/** Deliberate faults of the simulation, not of the production code, that a check must detect. */
public enum Mutation {
    /** The disk reports a sync that it has not done. */
    NO_FSYNC
}
