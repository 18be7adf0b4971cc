package brookpath.coordination.group;

import java.util.Arrays;

/**
 * The sending side of a full sync: one snapshot of the group, built once and sent in parts to all receivers. It is
 * dropped when no part was requested for a while, or when the log that it was made of is truncated.
 */
final class SnapshotSender {
    /**
     * The size of the largest part. A link of 2.8 Mbit/s carries one in 94 ms, a fifth of the default detection time,
     * so the heartbeats behind it come in time.
     */
    static final int PART_BYTES = 32 << 10;

    /** One part, with the checksum and size of its snapshot. */
    record Part(long sum, long total, long offset, byte[] bytes) {}

    private final long keepMs;
    private byte[] snapshot;
    private long sum;
    private long endIndex;
    private long askedAt;

    /** @param keepMs how long a snapshot is kept after its last request, in milliseconds */
    SnapshotSender(final long keepMs) {
        this.keepMs = keepMs;
    }

    /** Keeps a new snapshot in place of any other. */
    void hold(final byte[] newSnapshot, final long newEndIndex, final long now) {
        snapshot = newSnapshot;
        sum = SnapshotChecksum.of(newSnapshot);
        endIndex = newEndIndex;
        askedAt = now;
    }

    /**
     * Whether the snapshot that is kept serves a receiver: one that has begun to receive it, or whose log ends no later
     * than the snapshot, so that it loses no records by it.
     */
    boolean serves(final long askedSum, final long receiverEndIndex) {
        return snapshot != null && ((askedSum != 0 && askedSum == sum) || receiverEndIndex <= endIndex);
    }

    /** The next part for a receiver that has so many bytes of that snapshot; the first part where it has another. */
    Part part(final long askedSum, final long askedOffset, final long now) {
        askedAt = now;
        final int from = askedSum == sum && askedOffset > 0 && askedOffset < snapshot.length ? (int) askedOffset : 0;
        final int to = Math.min(snapshot.length, from + PART_BYTES);
        return new Part(sum, snapshot.length, from, Arrays.copyOfRange(snapshot, from, to));
    }

    /** The index up to which the log may be trimmed: a receiver of the snapshot continues from its end. */
    long trimLimit() {
        return snapshot == null ? Long.MAX_VALUE : endIndex;
    }

    /** Drops the snapshot where no part was requested for a while. */
    void expire(final long now) {
        if (snapshot != null && now - askedAt > keepMs) {
            drop();
        }
    }

    /** Drops the snapshot; the next receiver needs a new one. */
    void drop() {
        snapshot = null;
        sum = 0;
    }
}
