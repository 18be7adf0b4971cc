/**
 * Binary encodings. {@link brookpath.state.record.LogRecord} is an immutable record of a replicated log;
 * {@link brookpath.state.record.PackedBuffer} reads and writes packed fields and is confined to one thread;
 * {@link brookpath.state.record.Delta} encodes one document as a delta to another and is stateless.
 */
package brookpath.state.record;
