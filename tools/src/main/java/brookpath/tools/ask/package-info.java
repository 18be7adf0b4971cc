/**
 * Reads pages of running processes over HTTP, for the operators' tools: {@link brookpath.tools.ask.StatusClient}, used
 * by one thread, collects what could not be read.
 */
package brookpath.tools.ask;
