/** Mutation testing: the production code broken on purpose, one rule at a time, against the tests and sweeps. */
package brookpath.testing.mutate;
