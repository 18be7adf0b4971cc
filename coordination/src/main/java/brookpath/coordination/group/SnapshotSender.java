package brookpath.coordination.group;

import java.util.Arrays;

/**
 * The sending side of a full sync: one snapshot of the group, built once and sent in parts to all who are under way
 * with it. It is dropped when nobody has asked for a part for a while, or when the log that it was made of is cut.
 */
final class SnapshotSender {
    /**
     * No part is larger. A link of 2.8 Mbit/s carries one in 94 ms, a fifth of the default detection time, so the
     * heartbeats behind it come in time.
     */
    static final int PART_BYTES = 32 << 10;

    /** One part, and of which snapshot it is. */
    record Part(long sum, long total, long offset, byte[] bytes) {}

    private final long keepMs;
    private byte[] snapshot;
    private long sum;
    private long endIndex;
    private long askedAt;

    /** @param keepMs how long a snapshot is kept after it was last asked for */
    SnapshotSender(final long keepMs) {
        this.keepMs = keepMs;
    }

    /** Holds a new snapshot in place of any other. */
    void hold(final byte[] newSnapshot, final long newEndIndex, final long now) {
        snapshot = newSnapshot;
        sum = SnapshotChecksum.of(newSnapshot);
        endIndex = newEndIndex;
        askedAt = now;
    }

    /**
     * Whether the snapshot that is held serves a receiver: one that is under way with it, or whose log ends no later
     * than the snapshot does, so that the snapshot takes nothing from it.
     */
    boolean serves(final long askedSum, final long receiverEndIndex) {
        return snapshot != null && ((askedSum != 0 && askedSum == sum) || receiverEndIndex <= endIndex);
    }

    /** The next part for a receiver that has so much of that snapshot; the first where it has another. */
    Part part(final long askedSum, final long askedOffset, final long now) {
        askedAt = now;
        final int from = askedSum == sum && askedOffset > 0 && askedOffset < snapshot.length ? (int) askedOffset : 0;
        final int to = Math.min(snapshot.length, from + PART_BYTES);
        return new Part(sum, snapshot.length, from, Arrays.copyOfRange(snapshot, from, to));
    }

    /** Up to where the log may be trimmed: whoever takes the snapshot goes on from its end. */
    long trimLimit() {
        return snapshot == null ? Long.MAX_VALUE : endIndex;
    }

    void expire(final long now) {
        if (snapshot != null && now - askedAt > keepMs) {
            drop();
        }
    }

    void drop() {
        snapshot = null;
        sum = 0;
    }
}
