/**
 * The configuration: the document that operators replace as a whole, its reader, the deltas between its versions, and
 * the client by which every process follows it and holds a lease on it.
 */
package brookpath.coordination.configuration;
