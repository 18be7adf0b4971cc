package brookpath.state.wal;

import brookpath.state.record.PackedBuffer;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.List;

/**
 * The entries to replay: those packed in a snapshot, then those of its segment. An entry of the snapshot is copied each
 * time it is read, so that no second copy of a large snapshot is held in memory.
 */
final class PackedEntries extends AbstractList<byte[]> {
    private final byte[] snapshot;
    /** Where each entry of the snapshot begins, and the end of the last one. */
    private final int[] offsets;

    private final List<byte[]> segment;

    /** @param snapshot null if there is none */
    PackedEntries(final byte[] snapshot, final List<byte[]> segment) {
        this.snapshot = snapshot;
        this.segment = segment;
        offsets = snapshot == null ? new int[1] : offsets(snapshot);
    }

    private static int[] offsets(final byte[] snapshot) {
        final PackedBuffer in = PackedBuffer.reader(snapshot);
        int[] offsets = new int[1];
        while (in.hasRemaining()) {
            in.skipField();
            offsets = Arrays.copyOf(offsets, offsets.length + 1);
            offsets[offsets.length - 1] = in.position();
        }
        return offsets;
    }

    private int snapshotSize() {
        return offsets.length - 1;
    }

    @Override
    public byte[] get(final int index) {
        return index < snapshotSize()
                ? Arrays.copyOfRange(snapshot, offsets[index] + Integer.BYTES, offsets[index + 1])
                : segment.get(index - snapshotSize());
    }

    @Override
    public int size() {
        return snapshotSize() + segment.size();
    }
}
