package brookpath.state.wal;

import brookpath.state.disk.Disk;
import java.util.ArrayList;
import java.util.List;

/**
 * Verifies a snapshot file, one entry at a time, and notes where its contents are. The file is in parts
 * ({@link SnapshotFormat}) or, as earlier releases wrote it, one entry with the complete contents. Not thread-safe.
 */
final class SnapshotScan implements AutoCloseable {
    /** A range of the file that holds contents. */
    record Range(long position, int length) {}

    private final String name;
    private final BlockReader file;
    private final List<Range> ranges = new ArrayList<>();
    private long position;
    private long contentBytes;
    private boolean closed;
    private LogDamage damage;

    SnapshotScan(final Disk disk, final String name) {
        this.name = name;
        file = new BlockReader(disk, name);
    }

    /** Verifies a complete file. */
    static SnapshotScan of(final Disk disk, final String name) {
        try (SnapshotScan scan = new SnapshotScan(disk, name)) {
            while (scan.next()) {
                // each call verifies one entry
            }
            return scan;
        }
    }

    String name() {
        return name;
    }

    /** The first damage, null if none was found so far. */
    LogDamage damage() {
        return damage;
    }

    /** The ranges of the file that hold the contents, in order; complete once {@link #next} has returned false. */
    List<Range> ranges() {
        return ranges;
    }

    /** The size of the contents in bytes. */
    long contentBytes() {
        return contentBytes;
    }

    /** The position up to which the file is verified. */
    long position() {
        return position;
    }

    /** Verifies the next entry; false once the complete file is verified, or found to be damaged. */
    boolean next() {
        if (damage != null || position == file.size()) {
            if (damage == null && !closed) {
                damage = damage(LogDamage.Kind.MISSING_PART);
            }
            return false;
        }
        final int length = EntryFormat.lengthAt(file, position);
        if (length == EntryFormat.NO_ENTRY) {
            damage = damage(LogDamage.Kind.BAD_CHECKSUM);
        } else {
            damage = closed
                    ? damage(LogDamage.Kind.EXCESS_DATA)
                    : verifyEntry(position + EntryFormat.HEADER_BYTES, length);
        }
        if (damage == null) {
            position += EntryFormat.HEADER_BYTES + length;
        }
        return damage == null;
    }

    private LogDamage verifyEntry(final long payload, final int length) {
        if (!LogFiles.isInParts(name)) {
            closed = true;
            addRange(payload, length);
            return null;
        }
        if (length < SnapshotFormat.HEADER_BYTES || SnapshotFormat.version(file, payload) != SnapshotFormat.VERSION) {
            return damage(LogDamage.Kind.UNKNOWN_VERSION);
        }
        if (SnapshotFormat.sequence(file, payload) != ranges.size()) {
            return damage(LogDamage.Kind.UNEXPECTED_PART);
        }
        return verifyPart(payload, length);
    }

    private LogDamage verifyPart(final long payload, final int length) {
        switch (SnapshotFormat.kind(file, payload)) {
            case SnapshotFormat.CONTENTS -> {
                addRange(payload + SnapshotFormat.HEADER_BYTES, length - SnapshotFormat.HEADER_BYTES);
                return null;
            }
            case SnapshotFormat.CLOSING -> {
                closed = true;
                final boolean complete = length == SnapshotFormat.CLOSING_BYTES
                        && file.getLong(payload + SnapshotFormat.HEADER_BYTES) == contentBytes;
                return complete ? null : damage(LogDamage.Kind.MISSING_PART);
            }
            default -> {
                return damage(LogDamage.Kind.UNKNOWN_VERSION);
            }
        }
    }

    private void addRange(final long start, final int length) {
        ranges.add(new Range(start, length));
        contentBytes += length;
    }

    private LogDamage damage(final LogDamage.Kind kind) {
        return new LogDamage(name, position, kind);
    }

    @Override
    public void close() {
        file.close();
    }
}
