/**
 * A model of one replication group: the production state machine explored step by step, exhaustively to a depth and by
 * guided random walks, with invariants checked after each step. {@code bin/model} runs it.
 */
package brookpath.testing.model;
