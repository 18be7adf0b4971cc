/**
 * Tests on real processes: a fleet on loopback, stand-in callers at a user's rates, scenarios and whole days with
 * failures. The simulator's oracle checks what the callers saw.
 */
package brookpath.testing.fleet;
