package brookpath.coordination.group;

import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.PackedBuffer;

/**
 * The kinds of entries that a group writes to the write-ahead log. Each entry begins with the group's id and the code
 * of its kind, both as numbers; the codes are on disk and never change.
 */
enum GroupEntryKind {
    /** One record of the group's log. */
    RECORD(1),
    /** The log was truncated: it ends at this index. */
    TRUNCATE(2),
    /** The current term and the vote given in it, 0 for none. */
    VOTE(3),
    /** The replica is initialised; the value is 1 where it has lost its log and has to be rebuilt, else 0. */
    INITIALISED(4),
    /** A complete snapshot of the group's log, which replaces everything before it. */
    SNAPSHOT(5),
    /** For how long the replica had held the records of the snapshot before this entry ({@link RecordAges}). */
    AGES(6),
    /**
     * The base of a snapshot that is too large for one entry, and the number of its records. It replaces everything
     * before it once the last record has followed; until then it counts for nothing.
     */
    SNAPSHOT_BASE(7),
    /** Records of the snapshot that began with the last entry {@link #SNAPSHOT_BASE}. */
    SNAPSHOT_RECORDS(8);

    private static final GroupEntryKind[] KINDS = values();

    private final int code;

    GroupEntryKind(final int code) {
        this.code = code;
    }

    /** The kind with this code, or null where there is none. */
    static GroupEntryKind ofCode(final long code) {
        for (final GroupEntryKind kind : KINDS) {
            if (kind.code == code) {
                return kind;
            }
        }
        return null;
    }

    /** Begins an entry of this kind; the caller adds the fields. */
    PackedBuffer entry(final int group) {
        return PackedBuffer.writer().putLong(group).putLong(code);
    }

    /** As {@link #entry}, for an entry with large fields. */
    ChunkedBuffer chunkedEntry(final int group) {
        return new ChunkedBuffer().putLong(group).putLong(code);
    }
}
