package brookpath.coordination.group;

import brookpath.coordination.message.PeerMessage.PullReply;

/** The content of a reply to a pull; the code is on the wire. */
enum PullReplyKind {
    /** The requested records, perhaps none. */
    RECORDS(PullReply.RECORDS),
    /** The logs differ before the requested index; the reply names an earlier one to try. */
    MISMATCH(PullReply.MISMATCH),
    /** A part of a snapshot of the complete log. */
    SNAPSHOT(PullReply.FULL);

    private static final PullReplyKind[] KINDS = values();

    private final int code;

    PullReplyKind(final int code) {
        this.code = code;
    }

    /** The code on the wire. */
    int code() {
        return code;
    }

    /** The kind with this code; {@link #RECORDS} where it is unknown, since records are checked one by one. */
    static PullReplyKind ofCode(final int code) {
        for (final PullReplyKind kind : KINDS) {
            if (kind.code == code) {
                return kind;
            }
        }
        return RECORDS;
    }
}
