package brookpath.trial.model;

import brookpath.coordination.group.LogState;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;

/** The smallest state that follows from a log: a digest of its records. */
final class DigestState implements LogState {
    private final long keepMs;
    private long digest;

    DigestState(final long keepMs) {
        this.keepMs = keepMs;
    }

    @Override
    public void apply(final Rec rec) {
        digest = digest * 31 + rec.madeSum();
    }

    @Override
    public void trimmed(final Rec rec) {
        // Nothing is kept per record.
    }

    @Override
    public byte[] save() {
        return Pack.writer().num(digest).done();
    }

    @Override
    public void load(final byte[] saved) {
        digest = Pack.reader(saved).num();
    }

    @Override
    public boolean keeps(final Rec rec, final long now, final int newerRecords, final long newerBytes) {
        return now - rec.learnedAt() <= keepMs;
    }
}
