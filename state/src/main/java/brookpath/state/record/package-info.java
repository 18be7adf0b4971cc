/**
 * Encoded forms. {@link brookpath.state.record.LogRecord} is a record of a replicated log, immutable once made;
 * {@link brookpath.state.record.PackedBuffer} reads and writes packed fields and is confined to one thread;
 * {@link brookpath.state.record.Delta} encodes the difference between two documents and holds no state.
 */
package brookpath.state.record;
