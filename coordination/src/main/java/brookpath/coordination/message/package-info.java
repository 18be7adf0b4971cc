/**
 * Messages between processes, and responses to callers. {@link brookpath.coordination.message.PeerMessage} is the
 * sealed family of messages, encoded by the protocol module; {@link brookpath.coordination.message.Response} is what a
 * caller or an operator gets. The enums name kinds and outcomes, with their codes or names on the wire. All types are
 * immutable, and any thread may read them; byte arrays are shared and never written to.
 */
package brookpath.coordination.message;
