package brookpath.coordination.group;

import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;

/**
 * A log state that counts the applied records, and keeps the newest {@code keptRecords} in memory. With the maximum of
 * an int it stands for a state that keeps records by age, none of which is old enough yet.
 */
final class CountingState implements LogState {
    private final int keptRecords;
    private long applied;
    private long committed;

    CountingState(final int keptRecords) {
        this.keptRecords = keptRecords;
    }

    long applied() {
        return applied;
    }

    long committedIndex() {
        return committed;
    }

    @Override
    public void apply(final LogRecord logRecord) {
        applied++;
    }

    @Override
    public void trimmed(final LogRecord logRecord) {
        // trimming does not change the count
    }

    @Override
    public byte[] save() {
        return PackedBuffer.writer().putLong(applied).toByteArray();
    }

    @Override
    public void load(final byte[] saved) {
        applied = PackedBuffer.reader(saved).getLong();
    }

    @Override
    public void committed(final long index) {
        committed = index;
    }

    @Override
    public boolean keepsByAge() {
        return keptRecords == Integer.MAX_VALUE;
    }

    @Override
    public boolean keeps(final LogRecord logRecord, final long now, final int newerRecords, final long newerBytes) {
        return newerRecords < keptRecords;
    }
}
