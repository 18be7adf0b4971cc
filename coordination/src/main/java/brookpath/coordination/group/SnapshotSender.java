package brookpath.coordination.group;

import brookpath.state.record.ChunkedBuffer;

/**
 * The sending side of a full sync: caches one snapshot of the group, which is sent in parts to all receivers. The
 * snapshot refers to the records of the log, which the parts are copied from. It is dropped when no part was requested
 * for {@code keepMs}, or when the log that it was made of is truncated or replaced.
 */
final class SnapshotSender {
    /**
     * The maximum size of a part. A link of 2.8 Mbit/s transfers it in 94 ms, a fifth of the default detection time, so
     * the heartbeats behind it arrive in time.
     */
    static final int PART_BYTES = 32 << 10;

    /** One part, with the checksum and size of its snapshot. */
    record Part(long sum, long total, long offset, byte[] bytes) {}

    private final long keepMs;
    private ChunkedBuffer snapshot;
    private long sum;
    private long endIndex;
    private long lastRequestAt;

    /** @param keepMs how long a snapshot is kept after its last request, in milliseconds */
    SnapshotSender(final long keepMs) {
        this.keepMs = keepMs;
    }

    /** Caches a new snapshot, in place of any other. */
    void keep(final ChunkedBuffer newSnapshot, final long newEndIndex, final long now) {
        snapshot = newSnapshot;
        final SnapshotChecksum checksum = new SnapshotChecksum();
        newSnapshot.chunks().forEach(checksum::update);
        sum = checksum.value();
        endIndex = newEndIndex;
        lastRequestAt = now;
    }

    /**
     * Whether the cached snapshot is suitable for a receiver: one that has begun to receive it, or whose log ends no
     * later than the snapshot, so that it loses no records.
     */
    boolean serves(final long requestedSum, final long receiverEndIndex) {
        return snapshot != null && ((requestedSum != 0 && requestedSum == sum) || receiverEndIndex <= endIndex);
    }

    /**
     * The next part for a receiver that has this many bytes of the snapshot; the first part where it has another one.
     */
    Part part(final long requestedSum, final long requestedOffset, final long now) {
        lastRequestAt = now;
        final long total = snapshot.sizeBytes();
        final boolean continues = requestedSum == sum && requestedOffset > 0 && requestedOffset < total;
        final long from = continues ? requestedOffset : 0;
        final int length = (int) Math.min(PART_BYTES, total - from);
        return new Part(sum, total, from, snapshot.copyOfRange(from, length));
    }

    /** The index up to which the log may be trimmed: a receiver of the snapshot continues from its end. */
    long trimLimit() {
        return snapshot == null ? Long.MAX_VALUE : endIndex;
    }

    /** Drops the snapshot where no part was requested for {@code keepMs}. */
    void expire(final long now) {
        if (snapshot != null && now - lastRequestAt > keepMs) {
            drop();
        }
    }

    /** Drops the snapshot, so that a new one is built for the next receiver. */
    void drop() {
        snapshot = null;
        sum = 0;
    }
}
