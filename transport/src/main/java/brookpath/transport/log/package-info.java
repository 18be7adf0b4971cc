/** The log: a ring of lines in memory, written out when an error is logged. */
package brookpath.transport.log;
