/**
 * Black-box oracles: the history of everything that callers sent and received, and the ledger of reported usage, both
 * checked for violations.
 */
package brookpath.testing.oracle;
