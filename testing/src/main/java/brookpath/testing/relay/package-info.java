/** A relay between processes on loopback that delays, loses, cuts and counts what passes. */
package brookpath.testing.relay;
