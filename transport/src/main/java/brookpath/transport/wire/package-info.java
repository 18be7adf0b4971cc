/** Sessions between the processes of a fleet: dialling, identification, framing and the detection of dead peers. */
package brookpath.transport.wire;
