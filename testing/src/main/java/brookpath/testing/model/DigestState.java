package brookpath.testing.model;

import brookpath.coordination.group.LogState;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;

/** A minimal replicated state: a digest of the applied records. */
final class DigestState implements LogState {
    private final long retentionMs;
    private long digest;

    DigestState(final long retentionMs) {
        this.retentionMs = retentionMs;
    }

    @Override
    public void apply(final LogRecord logRecord) {
        digest = digest * 31 + logRecord.storedChecksum();
    }

    @Override
    public void trimmed(final LogRecord logRecord) {
        // The digest stores nothing per record.
    }

    @Override
    public byte[] save() {
        return PackedBuffer.writer().putLong(digest).toByteArray();
    }

    @Override
    public void load(final byte[] saved) {
        digest = PackedBuffer.reader(saved).getLong();
    }

    @Override
    public boolean keepsByAge() {
        return true;
    }

    @Override
    public boolean keeps(final LogRecord logRecord, final long now, final int newerRecords, final long newerBytes) {
        return now - logRecord.learnedAt() <= retentionMs;
    }
}
