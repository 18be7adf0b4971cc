/**
 * One replication group alone on a network that loses, delays and reorders messages: random failures, and an oracle
 * that sees the members' inside. One seed gives one run, always the same.
 */
package brookpath.testing.fuzz;
