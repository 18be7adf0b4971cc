/**
 * Messages between processes, and responses to callers. {@link brookpath.coordination.message.PeerMessage} is the
 * sealed type of all messages, which the protocol module encodes; {@link brookpath.coordination.message.Response} is
 * the response to a caller or an operator. The enums define kinds and outcomes, with their codes or names on the wire.
 * All types are immutable, and any thread may read them; byte arrays are shared and never written to.
 */
package brookpath.coordination.message;
