/** Asks running processes over HTTP, for the operators' tools. */
package brookpath.tools.ask;
