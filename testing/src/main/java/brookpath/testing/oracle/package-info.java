/**
 * What must never happen, checked from outside: the history of everything that callers sent and received, and the
 * ledger of reported usage.
 */
package brookpath.testing.oracle;
