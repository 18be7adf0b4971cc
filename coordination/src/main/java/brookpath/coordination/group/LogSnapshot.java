package brookpath.coordination.group;

import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A complete log of a group: the state at its base, and the records after it. It refers to the records instead of
 * copying them. Immutable; the byte strings must not be modified.
 *
 * @param baseState what {@link LogState#save} returned at the base
 * @param baseMembership the newest membership in the trimmed records, null for none
 */
record LogSnapshot(
        long baseIndex,
        long baseTerm,
        long baseDigest,
        byte[] baseState,
        List<LogRecord> records,
        Membership baseMembership) {
    /** A snapshot up to this size is one entry of the write-ahead log; a larger one is several. */
    static final int MAX_WHOLE_ENTRY_BYTES = 1 << 20;

    /** An entry with records of a larger snapshot ends with the record that reaches this size. */
    private static final int RECORDS_ENTRY_BYTES = 256 << 10;

    /** Reads what {@link #encode} wrote, up to the end of the buffer. */
    static LogSnapshot decode(final PackedBuffer in, final long now) {
        final long baseIndex = in.getLong();
        final long baseTerm = in.getLong();
        final long baseDigest = in.getLong();
        final byte[] baseState = in.getBytes();
        final List<LogRecord> records = new ArrayList<>();
        for (long left = in.getLong(); left > 0; left--) {
            records.add(LogRecord.wrap(in.getBytes(), now));
        }
        return new LogSnapshot(baseIndex, baseTerm, baseDigest, baseState, records, decodeMembership(in));
    }

    private static Membership decodeMembership(final PackedBuffer in) {
        return in.hasRemaining() ? Membership.load(PackedBuffer.reader(in.getBytes())) : null;
    }

    /** The form in which a full sync transfers it, and which one entry holds. */
    ChunkedBuffer encode() {
        final ChunkedBuffer buffer = new ChunkedBuffer();
        encodeBase(buffer);
        records.forEach(logRecord -> buffer.putBytes(logRecord.bytes()));
        encodeMembership(buffer);
        return buffer;
    }

    private void encodeBase(final ChunkedBuffer buffer) {
        buffer.putLong(baseIndex).putLong(baseTerm).putLong(baseDigest);
        buffer.putBytes(baseState).putLong(records.size());
    }

    private void encodeMembership(final ChunkedBuffer buffer) {
        if (baseMembership != null) {
            buffer.putBytes(baseMembership.save());
        }
    }

    /** The entries of the write-ahead log that restore it, of bounded size each but for the state at the base. */
    List<ChunkedBuffer> entries(final int group) {
        final ChunkedBuffer whole = encode();
        if (whole.sizeBytes() <= MAX_WHOLE_ENTRY_BYTES) {
            return List.of(GroupEntryKind.SNAPSHOT.chunkedEntry(group).putBytes(whole));
        }
        final List<ChunkedBuffer> entries = new ArrayList<>();
        final ChunkedBuffer base = GroupEntryKind.SNAPSHOT_BASE.chunkedEntry(group);
        encodeBase(base);
        encodeMembership(base);
        entries.add(base);
        ChunkedBuffer current = GroupEntryKind.SNAPSHOT_RECORDS.chunkedEntry(group);
        for (final LogRecord logRecord : records) {
            if (current.sizeBytes() >= RECORDS_ENTRY_BYTES) {
                entries.add(current);
                current = GroupEntryKind.SNAPSHOT_RECORDS.chunkedEntry(group);
            }
            current.putBytes(logRecord.bytes());
        }
        entries.add(current);
        return entries;
    }

    /** The restoring side of {@link #entries} where there are several. */
    static final class Assembly {
        private final LogSnapshot base;
        private final long expectedRecords;

        /** Begins with the fields of the entry {@link GroupEntryKind#SNAPSHOT_BASE}. */
        Assembly(final PackedBuffer in) {
            final long baseIndex = in.getLong();
            final long baseTerm = in.getLong();
            final long baseDigest = in.getLong();
            final byte[] baseState = in.getBytes();
            expectedRecords = in.getLong();
            base = new LogSnapshot(baseIndex, baseTerm, baseDigest, baseState, new ArrayList<>(), decodeMembership(in));
        }

        /** Adds the records of an entry {@link GroupEntryKind#SNAPSHOT_RECORDS}. */
        void add(final PackedBuffer in, final long now) {
            while (in.hasRemaining()) {
                base.records.add(LogRecord.wrap(in.getBytes(), now));
            }
        }

        /** The snapshot; null while records are missing. */
        LogSnapshot complete() {
            return base.records.size() == expectedRecords ? base : null;
        }
    }
}
