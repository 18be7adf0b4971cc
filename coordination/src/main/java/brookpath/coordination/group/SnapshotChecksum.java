package brookpath.coordination.group;

import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * The checksum that identifies a snapshot. A snapshot begins with its base index, so the checksum covers that as well.
 */
final class SnapshotChecksum {
    private SnapshotChecksum() {}

    /** The checksum of the snapshot; never 0, which means no snapshot. */
    static long of(final byte[] snapshot) {
        final CRC32 high = new CRC32();
        high.update(snapshot);
        final CRC32C low = new CRC32C();
        low.update(snapshot);
        return Math.max(1, high.getValue() << 31 | low.getValue());
    }
}
