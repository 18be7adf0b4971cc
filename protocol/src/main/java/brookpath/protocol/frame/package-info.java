/**
 * The frames between processes: {@link brookpath.coordination.message.PeerMessage} to SBE bytes and back. The layout is
 * in {@code peer-schema.xml}; its template ids, field order and widths are the wire format and never change within a
 * schema version. {@link brookpath.protocol.frame.FrameCodec} dispatches to one codec per concern and owns the reused
 * buffers, so each thread has an instance of its own.
 */
package brookpath.protocol.frame;
