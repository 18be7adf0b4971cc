/**
 * Tests with real processes: a fleet on loopback, simulated callers at the rates of a load profile, and scenarios from
 * a single fault to random faults over a long run. The simulator's oracle checks what the callers observed.
 */
package brookpath.testing.fleet;
