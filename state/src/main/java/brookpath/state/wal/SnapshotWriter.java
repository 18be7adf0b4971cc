package brookpath.state.wal;

import static java.nio.ByteOrder.LITTLE_ENDIAN;

import brookpath.state.disk.DiskFile;
import brookpath.state.record.ChunkedBuffer;
import java.nio.ByteBuffer;

/** Writes one snapshot in parts, through a buffer of one part. Not thread-safe. */
final class SnapshotWriter {
    /** The size of the contents of a part, which bounds the memory that writing and reading takes. */
    static final int PART_BYTES = 256 << 10;

    private static final int CONTENTS_OFFSET = EntryFormat.HEADER_BYTES + SnapshotFormat.HEADER_BYTES;

    private final DiskFile file;
    private final byte[] part;
    private int used;
    private long sequence;
    private long contentBytes;

    private SnapshotWriter(final DiskFile file, final long sizeBytes) {
        this.file = file;
        part = new byte[CONTENTS_OFFSET + (int) Math.max(Long.BYTES, Math.min(PART_BYTES, sizeBytes))];
    }

    /** Writes a complete snapshot to an empty file, without syncing it. */
    static void write(final DiskFile file, final ChunkedBuffer snapshot) {
        final SnapshotWriter writer = new SnapshotWriter(file, snapshot.sizeBytes());
        snapshot.chunks().forEach(writer::add);
        writer.close();
    }

    private void add(final byte[] chunk) {
        int added = 0;
        while (added < chunk.length) {
            final int capacity = part.length - CONTENTS_OFFSET;
            final int count = Math.min(capacity - used, chunk.length - added);
            System.arraycopy(chunk, added, part, CONTENTS_OFFSET + used, count);
            used += count;
            added += count;
            if (used == capacity) {
                writePart(SnapshotFormat.CONTENTS);
            }
        }
    }

    private void close() {
        if (used > 0) {
            writePart(SnapshotFormat.CONTENTS);
        }
        ByteBuffer.wrap(part).order(LITTLE_ENDIAN).putLong(CONTENTS_OFFSET, contentBytes);
        used = Long.BYTES;
        writePart(SnapshotFormat.CLOSING);
    }

    private void writePart(final int kind) {
        SnapshotFormat.putHeader(part, EntryFormat.HEADER_BYTES, kind, sequence);
        EntryFormat.putHeader(part, SnapshotFormat.HEADER_BYTES + used, 0);
        file.append(part, 0, CONTENTS_OFFSET + used);
        sequence++;
        contentBytes += used;
        used = 0;
    }
}
