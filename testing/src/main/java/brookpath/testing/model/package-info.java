/**
 * Model checking of one replication group: explores the production state machine exhaustively to a depth and by guided
 * random walks, and checks invariants after each step. {@code bin/model} runs it.
 */
package brookpath.testing.model;
