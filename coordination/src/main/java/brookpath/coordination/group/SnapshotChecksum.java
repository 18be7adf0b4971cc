package brookpath.coordination.group;

import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * The checksum that identifies a snapshot, computed over its parts in order. A snapshot begins with its base index, so
 * the checksum covers that as well. Not thread-safe.
 */
final class SnapshotChecksum {
    private final CRC32 high = new CRC32();
    private final CRC32C low = new CRC32C();

    /** Continues with the next part. */
    void update(final byte[] part) {
        high.update(part);
        low.update(part);
    }

    /** The checksum of all parts so far; never 0, which means no snapshot. */
    long value() {
        return Math.max(1, high.getValue() << 31 | low.getValue());
    }
}
