/**
 * Reads status pages of running processes over HTTP for the operators' tools: {@link brookpath.tools.ask.StatusClient},
 * which is not thread-safe, collects the failed reads.
 */
package brookpath.tools.ask;
