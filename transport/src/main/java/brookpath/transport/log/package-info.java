/**
 * The log of the process: {@link brookpath.transport.log.LogRing} keeps the last lines in memory, prints milestones at
 * once and writes all out when an error is logged; {@link brookpath.transport.log.RingWriter}, found by tinylog as a
 * service, passes the library's lines on to it. The ring is static, one for a process; any thread logs.
 */
package brookpath.transport.log;
