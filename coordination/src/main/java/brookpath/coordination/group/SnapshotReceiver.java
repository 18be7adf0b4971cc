package brookpath.coordination.group;

import brookpath.coordination.message.PeerMessage.PullReply;
import brookpath.state.wal.WriteAheadLog;
import java.io.ByteArrayOutputStream;

/**
 * The receiving side of a full sync: collects the parts of one snapshot. The transfer continues after a lost session or
 * a change of the source; a part of another snapshot restarts it.
 */
final class SnapshotReceiver {
    private long sum;
    private long total;
    private ByteArrayOutputStream received = new ByteArrayOutputStream();

    /** The checksum of the snapshot in transfer, 0 for none. */
    long sum() {
        return sum;
    }

    /** How many of its bytes have been received. */
    long offset() {
        return received.size();
    }

    /** Adds one part; returns the snapshot once it is complete and its checksum matches, else null. */
    byte[] take(final PullReply part) {
        if (part.snapshotSum() != sum || part.snapshotTotal() != total) {
            reset();
            sum = part.snapshotSum();
            total = part.snapshotTotal();
        }
        if (part.snapshotOffset() != received.size() || total > WriteAheadLog.MAX_ENTRY_BYTES) {
            return null;
        }
        received.write(part.snapshot(), 0, part.snapshot().length);
        if (received.size() < total) {
            return null;
        }
        final byte[] snapshot = received.toByteArray();
        final boolean complete = snapshot.length == total && SnapshotChecksum.of(snapshot) == sum;
        reset();
        return complete ? snapshot : null;
    }

    /** Drops the parts that were received. */
    void reset() {
        sum = 0;
        total = 0;
        received = new ByteArrayOutputStream();
    }
}
