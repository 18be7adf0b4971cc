package brookpath.state.wal;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Reads the files of a log, to recover it at the start of a process or only to inspect it. */
final class LogRecovery {
    private static final long NO_SNAPSHOT = -1;

    private final Disk disk;
    private final TreeSet<Long> snapshots = new TreeSet<>();
    private final TreeSet<Long> segments = new TreeSet<>();
    private final List<String> findings = new ArrayList<>();
    private final List<byte[]> entries = new ArrayList<>();
    private byte[] snapshot;
    private boolean damaged;

    private LogRecovery(final Disk disk) {
        this.disk = disk;
    }

    /** See {@link WriteAheadLog#recover}. */
    static WriteAheadLog.Recovery recover(final Disk disk) {
        return new LogRecovery(disk).recover();
    }

    private WriteAheadLog.Recovery recover() {
        listFiles();
        final long current = readSnapshot();
        if (!damaged && segments.contains(current)) {
            readSegment(current);
        }
        if (damaged) {
            deleteAll();
            return new WriteAheadLog.Recovery(new WriteAheadLog(disk, 0), null, List.of(), findings, true);
        }
        final WriteAheadLog writeAheadLog = new WriteAheadLog(disk, current);
        writeAheadLog.deleteOlderThan(current);
        return new WriteAheadLog.Recovery(writeAheadLog, snapshot, entries, findings, false);
    }

    private void listFiles() {
        for (final String name : disk.list()) {
            if (LogFiles.isTemporary(name)) {
                // A snapshot that was never renamed is incomplete, and has not replaced anything.
                disk.delete(name);
            } else if (LogFiles.isSnapshot(name)) {
                snapshots.add(LogFiles.number(name));
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
        final long newest = snapshots.last();
        final SegmentScan scan = SegmentScan.of(disk, LogFiles.snapshot(newest));
        if (scan.isSnapshot()) {
            snapshot = scan.entries().get(0);
        } else {
            damaged = true;
            findings.add(LogFiles.snapshot(newest) + ": unreadable snapshot");
        }
        return newest;
    }

    private void readSegment(final long number) {
        final String name = LogFiles.segment(number);
        final SegmentScan scan = SegmentScan.of(disk, name);
        entries.addAll(scan.entries());
        if (scan.isDamaged()) {
            damaged = true;
            findings.add(scan.damage());
        } else if (scan.isTorn()) {
            truncateTornTail(name, scan.tornAt());
        }
    }

    /** The bytes from there on were never reported as synced, so nothing relies on them. */
    private void truncateTornTail(final String name, final long tornAt) {
        final DiskFile file = disk.open(name);
        file.truncate(tornAt);
        file.sync();
        file.close();
        findings.add(name + ": torn tail truncated at byte " + tornAt);
    }

    private void deleteAll() {
        snapshots.forEach(number -> disk.delete(LogFiles.snapshot(number)));
        segments.forEach(number -> disk.delete(LogFiles.segment(number)));
        disk.syncFolder();
    }

    /** See {@link WriteAheadLog#inspect}. */
    static WriteAheadLog.Inspection inspect(final Disk disk) {
        final List<String> findings = new ArrayList<>();
        final long newest = newestSnapshot(disk);
        final byte[] snapshot = newest == NO_SNAPSHOT ? null : inspectSnapshot(disk, newest, findings);
        final String segment = LogFiles.segment(Math.max(newest, 0));
        final List<byte[]> entries = inspectSegment(disk, segment, findings);
        final String snapshotName = newest == NO_SNAPSHOT ? "" : LogFiles.snapshot(newest);
        return new WriteAheadLog.Inspection(snapshotName, snapshot, segment, entries, findings);
    }

    private static long newestSnapshot(final Disk disk) {
        long newest = NO_SNAPSHOT;
        for (final String name : disk.list()) {
            if (LogFiles.isSnapshot(name) && LogFiles.hasNumber(name)) {
                newest = Math.max(newest, LogFiles.number(name));
            }
        }
        return newest;
    }

    private static byte[] inspectSnapshot(final Disk disk, final long number, final List<String> findings) {
        final SegmentScan scan = SegmentScan.of(disk, LogFiles.snapshot(number));
        if (scan.isSnapshot()) {
            return scan.entries().get(0);
        }
        findings.add(LogFiles.snapshot(number) + ": unreadable snapshot");
        return null;
    }

    private static List<byte[]> inspectSegment(final Disk disk, final String name, final List<String> findings) {
        if (!disk.list().contains(name)) {
            findings.add(name + ": missing");
            return List.of();
        }
        final SegmentScan scan = SegmentScan.of(disk, name);
        if (scan.isDamaged()) {
            findings.add(scan.damage());
        } else if (scan.isTorn()) {
            findings.add(name + ": torn tail from byte " + scan.tornAt() + "; the next start truncates it");
        }
        return scan.entries();
    }

    /** Returns the entries packed in the snapshot, then those of its segment, in the order of replay. */
    static List<byte[]> allEntries(final byte[] snapshot, final List<byte[]> entries) {
        return new PackedEntries(snapshot, entries);
    }
}
