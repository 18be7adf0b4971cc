package brookpath.coordination.group;

import brookpath.coordination.message.PeerMessage.PullReply;

/** What a reply to a pull holds; the code is on the wire. */
enum PullReplyKind {
    /** The records that follow, perhaps none. */
    RECORDS(PullReply.RECORDS),
    /** The logs differ before the place that was asked for, and another place to try. */
    MISMATCH(PullReply.MISMATCH),
    /** A part of a snapshot of the whole log. */
    SNAPSHOT(PullReply.FULL);

    private static final PullReplyKind[] KINDS = values();

    private final int code;

    PullReplyKind(final int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    /** The kind with this code; one that is not known is taken for records, which are checked one by one. */
    static PullReplyKind ofCode(final int code) {
        for (final PullReplyKind kind : KINDS) {
            if (kind.code == code) {
                return kind;
            }
        }
        return RECORDS;
    }
}
