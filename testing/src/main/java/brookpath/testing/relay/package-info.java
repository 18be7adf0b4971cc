/** A relay between real processes on loopback that delays, loses, partitions and counts what passes. */
package brookpath.testing.relay;
