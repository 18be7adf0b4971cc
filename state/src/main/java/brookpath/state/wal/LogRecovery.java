package brookpath.state.wal;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.state.disk.DiskFullException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/** Reads the files of a log, to recover it at the start of a process or only to inspect it. */
final class LogRecovery {
    private final Disk disk;
    private final long wallMs;
    /** The names of the snapshots by number. */
    private final TreeMap<Long, String> snapshots = new TreeMap<>();

    private final TreeSet<Long> segments = new TreeSet<>();
    private final List<String> findings = new ArrayList<>();
    private SnapshotScan snapshot;
    private SegmentScan segment;
    private boolean damaged;

    private LogRecovery(final Disk disk, final long wallMs) {
        this.disk = disk;
        this.wallMs = wallMs;
    }

    /** See {@link WriteAheadLog#recover}. */
    static WriteAheadLog.Recovery recover(final Disk disk, final long wallMs) {
        return new LogRecovery(disk, wallMs).recover();
    }

    private WriteAheadLog.Recovery recover() {
        listFiles();
        final long current = readSnapshot();
        if (!damaged && segments.contains(current)) {
            readSegment(current);
        }
        if (damaged) {
            setAside();
            return new WriteAheadLog.Recovery(open(0), new LogContents(disk, null, null), findings, true);
        }
        final WriteAheadLog writeAheadLog = open(current);
        writeAheadLog.deleteOlderThan(current);
        return new WriteAheadLog.Recovery(writeAheadLog, new LogContents(disk, snapshot, segment), findings, false);
    }

    private WriteAheadLog open(final long number) {
        try {
            return new WriteAheadLog(disk, number);
        } catch (final DiskFullException ex) {
            if (!SetAsideFiles.deleteAll(disk)) {
                throw ex;
            }
            return new WriteAheadLog(disk, number);
        }
    }

    private void listFiles() {
        for (final String name : disk.list()) {
            if (LogFiles.isTemporary(name)) {
                // A snapshot that was never renamed is incomplete, and has not replaced anything.
                disk.delete(name);
            } else if (LogFiles.isSnapshot(name)) {
                snapshots.put(LogFiles.number(name), name);
            } else if (LogFiles.isSegment(name)) {
                segments.add(LogFiles.number(name));
            }
        }
    }

    /** Reads the newest snapshot and returns its number, which is also that of the segment to append to. */
    private long readSnapshot() {
        if (snapshots.isEmpty()) {
            final long first = segments.isEmpty() ? 0 : segments.first();
            if (first > 0) {
                damaged = true;
                findings.add(LogFiles.segment(first) + ": the snapshot that it follows is missing");
            }
            return first;
        }
        snapshot = SnapshotScan.of(disk, snapshots.lastEntry().getValue());
        if (snapshot.damage() != null) {
            damaged = true;
            findings.add(snapshot.damage().describe());
        }
        return snapshots.lastKey();
    }

    private void readSegment(final long number) {
        segment = SegmentScan.of(disk, LogFiles.segment(number));
        if (segment.isDamaged()) {
            damaged = true;
            findings.add(segment.damage().describe());
        } else if (segment.isTorn()) {
            truncateTornTail();
        }
    }

    /** The bytes from there on were never reported as synced, so nothing relies on them. */
    private void truncateTornTail() {
        final DiskFile file = disk.open(segment.name());
        file.truncate(segment.tornAt());
        file.sync();
        file.close();
        findings.add(segment.name() + ": torn tail truncated at byte " + segment.tornAt());
    }

    /**
     * Keeps the files of the damaged log under other names, so that the next log begins in an empty folder. A segment
     * without its snapshot is recognized as damaged after a crash, a snapshot without its segment is not: so the
     * snapshots go first.
     */
    private void setAside() {
        snapshots.values().forEach(this::setAside);
        disk.syncFolder();
        segments.forEach(number -> setAside(LogFiles.segment(number)));
        disk.syncFolder();
        SetAsideFiles.deleteAllButNewest(disk);
    }

    private void setAside(final String name) {
        final String newName = LogFiles.setAside(name, wallMs);
        disk.rename(name, newName);
        findings.add(name + ": kept as " + newName);
    }

    /** See {@link WriteAheadLog#inspect}. */
    static WriteAheadLog.Inspection inspect(final Disk disk) {
        final List<String> findings = new ArrayList<>();
        final TreeMap<Long, String> snapshots = new TreeMap<>();
        for (final String name : disk.list()) {
            if (LogFiles.isSnapshot(name) && LogFiles.hasNumber(name)) {
                snapshots.put(LogFiles.number(name), name);
            }
        }
        final SnapshotScan snapshot = snapshots.isEmpty()
                ? null
                : inspectSnapshot(disk, snapshots.lastEntry().getValue(), findings);
        final String segmentName = LogFiles.segment(snapshots.isEmpty() ? 0 : snapshots.lastKey());
        final SegmentScan segment = inspectSegment(disk, segmentName, findings);
        return new WriteAheadLog.Inspection(
                snapshot == null ? "" : snapshot.name(),
                segmentName,
                new LogContents(disk, snapshot, segment),
                findings);
    }

    private static SnapshotScan inspectSnapshot(final Disk disk, final String name, final List<String> findings) {
        final SnapshotScan scan = SnapshotScan.of(disk, name);
        if (scan.damage() == null) {
            return scan;
        }
        findings.add(scan.damage().describe());
        return null;
    }

    private static SegmentScan inspectSegment(final Disk disk, final String name, final List<String> findings) {
        if (!disk.list().contains(name)) {
            findings.add(name + ": missing");
            return null;
        }
        final SegmentScan scan = SegmentScan.of(disk, name);
        if (scan.isDamaged()) {
            findings.add(scan.damage().describe());
        } else if (scan.isTorn()) {
            findings.add(name + ": torn tail from byte " + scan.tornAt() + "; the next start truncates it");
        }
        return scan;
    }
}
