/**
 * The log of the process: {@link brookpath.transport.log.LogRing} keeps the last lines in memory, prints milestones at
 * once and writes all lines out when an error is logged; {@link brookpath.transport.log.RingWriter}, which tinylog
 * finds as a service, adds the lines logged through tinylog. The ring is static, one for each process; any thread may
 * log.
 */
package brookpath.transport.log;
