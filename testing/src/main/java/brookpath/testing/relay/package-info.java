/** A TCP relay between real processes on loopback that delays, loses, blocks and counts traffic. */
package brookpath.testing.relay;
