/**
 * Encoding and decoding of the frames between processes: {@link brookpath.coordination.message.PeerMessage} to SBE and
 * back. {@code peer-schema.xml} defines the layout; its template ids, field order and field widths are the wire format
 * and never change within a schema version. {@link brookpath.protocol.frame.FrameCodec} dispatches to one codec for
 * each group of messages. It owns reused buffers, so each thread has its own instance.
 */
package brookpath.protocol.frame;
