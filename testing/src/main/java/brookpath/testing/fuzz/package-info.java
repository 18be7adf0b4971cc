/**
 * Fuzz test of one replication group on a network that loses, delays and reorders messages: random failures, and an
 * oracle that checks the members' internal state. A seed and a style reproduce a run exactly.
 */
package brookpath.testing.fuzz;
