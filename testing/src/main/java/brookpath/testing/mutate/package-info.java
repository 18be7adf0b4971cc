/** Mutation testing: breaks the production code one rule at a time, and runs the tests and sweeps against it. */
package brookpath.testing.mutate;
