package brookpath.coordination.group;

import brookpath.coordination.group.LogSnapshotDecoder.MalformedSnapshotException;
import brookpath.coordination.message.PeerMessage.PullReply;

/**
 * The receiving side of a full sync: decodes the parts of one snapshot as they arrive. The transfer continues after a
 * lost session or a change of the source; a part of another snapshot restarts it. A snapshot may have any size that a
 * sender has sent. Not thread-safe.
 */
final class SnapshotReceiver {
    private long sum;
    private long total;
    /** Null while nothing was received. */
    private LogSnapshotDecoder decoder;

    private SnapshotChecksum checksum;

    /** The checksum of the snapshot in transfer, 0 for none. */
    long sum() {
        return sum;
    }

    /** How many of its bytes have been received. */
    long offset() {
        return decoder == null ? 0 : decoder.decodedBytes();
    }

    /**
     * Adds one part; returns the snapshot once it is complete and its checksum matches, else null.
     *
     * @param now of the steady clock, in milliseconds
     */
    LogSnapshot take(final PullReply part, final long now) {
        if (part.snapshotSum() != sum || part.snapshotTotal() != total) {
            reset();
            sum = part.snapshotSum();
            total = part.snapshotTotal();
        }
        if (part.snapshotOffset() != offset()) {
            return null;
        }
        try {
            return add(part.snapshot(), now);
        } catch (final MalformedSnapshotException ex) {
            reset();
            return null;
        }
    }

    private LogSnapshot add(final byte[] bytes, final long now) throws MalformedSnapshotException {
        if (decoder == null) {
            decoder = new LogSnapshotDecoder(total, now);
            checksum = new SnapshotChecksum();
        }
        decoder.decode(bytes);
        checksum.update(bytes);
        if (decoder.decodedBytes() < total) {
            return null;
        }
        final LogSnapshot snapshot = checksum.value() == sum ? decoder.snapshot() : null;
        reset();
        return snapshot;
    }

    /** Drops the parts that were received. */
    void reset() {
        sum = 0;
        total = 0;
        decoder = null;
        checksum = null;
    }
}
