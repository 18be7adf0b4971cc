/**
 * The log of the process: {@link brookpath.transport.log.RingWriter}, found by tinylog as a service, keeps a ring of
 * lines in memory and writes it out when an error is logged. The ring is static, one for a process; any thread logs.
 */
package brookpath.transport.log;
