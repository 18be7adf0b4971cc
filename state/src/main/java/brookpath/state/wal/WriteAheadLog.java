package brookpath.state.wal;

import static java.nio.ByteOrder.LITTLE_ENDIAN;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.state.disk.DiskFullException;
import brookpath.state.record.PackedBuffer;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import java.util.zip.CRC32C;

/**
 * The segmented log of one process, with snapshots beside it: {@code seg-N} holds the entries written since
 * {@code snap-N}. An entry is length, checksum, how many bytes of its file were synced when it was written, bytes. An
 * entry without bytes is a mark: it says only how much was synced.
 */
public final class WriteAheadLog {
    public static final int MAX_ENTRY = 64 << 20;
    private static final int HEAD = 16;

    /** What recovery found. A damaged folder yields no entries: its owner comes back as a member without a disk. */
    public record Recovery(
            WriteAheadLog writeAheadLog,
            byte[] snapshot,
            List<byte[]> entries,
            List<String> findings,
            boolean damaged) {
        public List<byte[]> replayed() {
            return WriteAheadLog.replayed(snapshot, entries);
        }
    }

    /** The entries that the snapshot packs, then those of the segment: what an owner replays. */
    private static List<byte[]> replayed(final byte[] snapshot, final List<byte[]> entries) {
        final List<byte[]> all = new ArrayList<>();
        if (snapshot != null) {
            for (final PackedBuffer in = PackedBuffer.reader(snapshot); in.more(); ) {
                all.add(in.bytes());
            }
        }
        all.addAll(entries);
        return all;
    }

    private final Disk disk;
    private long seg;
    private DiskFile file;
    private long size;
    private long synced;

    private WriteAheadLog(final Disk disk, final long seg) {
        this.disk = disk;
        this.seg = seg;
        file = disk.open(segName(seg));
        size = file.size();
        synced = size;
        disk.syncFolder();
    }

    /** Reads what the folder holds. A full disk is no hindrance, except for the first file of an empty folder. */
    public static Recovery recover(final Disk disk) {
        final List<String> findings = new ArrayList<>();
        final TreeSet<Long> snaps = new TreeSet<>();
        final TreeSet<Long> segs = new TreeSet<>();
        for (final String name : disk.list()) {
            if (name.endsWith(".tmp")) {
                // why: a snapshot that was not renamed never replaced anything
                disk.delete(name);
            } else if (name.startsWith("snap-")) {
                snaps.add(Long.parseLong(name.substring(5)));
            } else if (name.startsWith("seg-")) {
                segs.add(Long.parseLong(name.substring(4)));
            }
        }
        long at = segs.isEmpty() ? 0 : segs.first();
        byte[] snapshot = null;
        boolean damaged = false;
        if (!snaps.isEmpty()) {
            at = snaps.last();
            final Scan scan = scan(disk, "snap-" + at);
            damaged = !scan.isSnapshot();
            snapshot = damaged ? null : scan.entries.get(0);
            if (damaged) {
                findings.add("snap-" + at + ": unreadable snapshot");
            }
        } else if (at > 0) {
            damaged = true;
            findings.add("seg-" + at + ": its snapshot is missing");
        }
        final List<byte[]> entries = new ArrayList<>();
        if (!damaged && segs.contains(at)) {
            final Scan scan = scan(disk, segName(at));
            entries.addAll(scan.entries);
            if (scan.damage != null) {
                damaged = true;
                findings.add(scan.damage);
            } else if (scan.torn >= 0) {
                // why: bytes after the last whole entry were never confirmed as synced, so nobody counted on them
                final DiskFile file = disk.open(segName(at));
                file.truncate(scan.torn);
                file.sync();
                file.close();
                findings.add(segName(at) + ": torn tail cut at byte " + scan.torn);
            }
        }
        if (damaged) {
            snaps.forEach(n -> disk.delete("snap-" + n));
            segs.forEach(n -> disk.delete(segName(n)));
            disk.syncFolder();
            return new Recovery(new WriteAheadLog(disk, 0), null, List.of(), findings, true);
        }
        final WriteAheadLog writeAheadLog = new WriteAheadLog(disk, at);
        writeAheadLog.dropBefore(at);
        return new Recovery(writeAheadLog, snapshot, entries, findings, false);
    }

    /** What a folder holds, without changing anything in it. */
    public record Inspection(
            String snapshotName, byte[] snapshot, String segmentName, List<byte[]> entries, List<String> findings) {
        public List<byte[]> replayed() {
            return WriteAheadLog.replayed(snapshot, entries);
        }
    }

    public static Inspection inspect(final Disk disk) {
        final List<String> findings = new ArrayList<>();
        long at = -1;
        byte[] snapshot = null;
        for (final String name : disk.list()) {
            if (name.matches("snap-[0-9]+")) {
                at = Math.max(at, Long.parseLong(name.substring(5)));
            }
        }
        if (at >= 0) {
            final Scan scan = scan(disk, "snap-" + at);
            if (scan.isSnapshot()) {
                snapshot = scan.entries.get(0);
            } else {
                findings.add("snap-" + at + ": unreadable snapshot");
            }
        }
        final String segment = segName(Math.max(at, 0));
        List<byte[]> entries = List.of();
        if (disk.list().contains(segment)) {
            final Scan scan = scan(disk, segment);
            entries = scan.entries;
            if (scan.damage != null) {
                findings.add(scan.damage);
            } else if (scan.torn >= 0) {
                findings.add(segment + ": torn tail from byte " + scan.torn + "; the next start cuts it");
            }
        } else {
            findings.add(segment + ": missing");
        }
        return new Inspection(at < 0 ? "" : "snap-" + at, snapshot, segment, entries, findings);
    }

    /** Throws {@link DiskFullException} where there is no room; the entry is then not in the segment. */
    public void append(final byte[] entry) {
        put(entry);
    }

    private void put(final byte[] entry) {
        final byte[] framed = frame(entry, synced);
        try {
            file.append(framed, 0, framed.length);
        } catch (final DiskFullException ex) {
            // why: the part of it that did fit must not lie before the entries that follow
            file.truncate(size);
            throw ex;
        }
        size += framed.length;
    }

    /**
     * Only what was appended before this counts; a mark follows, so that a later look can tell damage from a torn tail.
     */
    public void sync() {
        if (size > synced) {
            file.sync();
            synced = size;
            try {
                put(new byte[0]);
            } catch (final DiskFullException ex) {
                // why: the sync counts without its mark; the next entry says as well how much was synced
                return;
            }
        }
    }

    /**
     * Reads back what was written since the last snapshot, and that snapshot; false where the disk gives back something
     * else.
     */
    public boolean whole() {
        final Scan now = scan(disk, segName(seg));
        return now.damage == null
                && now.torn < 0
                && (!disk.list().contains("snap-" + seg)
                        || scan(disk, "snap-" + seg).isSnapshot());
    }

    public long segmentBytes() {
        return size;
    }

    /**
     * Starts a new segment whose beginning is the given snapshot; everything older can go. Throws
     * {@link DiskFullException} where there is no room for the snapshot beside what is there; the present segment then
     * goes on.
     */
    public void roll(final byte[] snapshot) {
        final long next = seg + 1;
        final DiskFile nextFile = prepare(next, snapshot);
        disk.syncFolder();
        file.close();
        seg = next;
        file = nextFile;
        size = 0;
        synced = 0;
        dropBefore(next);
    }

    /** Everything that needs room: the snapshot, under its name at last, and the empty segment that follows it. */
    private DiskFile prepare(final long next, final byte[] snapshot) {
        final String tmpName = "snap-" + next + ".tmp";
        DiskFile tmp = null;
        DiskFile nextFile = null;
        try {
            tmp = disk.open(tmpName);
            tmp.truncate(0);
            final byte[] framed = frame(snapshot, 0);
            tmp.append(framed, 0, framed.length);
            tmp.sync();
            // why: once the snapshot has its name a start goes by it, so the segment after it must be there before
            nextFile = disk.open(segName(next));
            nextFile.truncate(0);
            disk.rename(tmpName, "snap-" + next);
            return nextFile;
        } catch (final DiskFullException ex) {
            if (nextFile != null) {
                nextFile.close();
                disk.delete(segName(next));
            }
            disk.delete(tmpName);
            throw ex;
        } finally {
            if (tmp != null) {
                tmp.close();
            }
        }
    }

    private void dropBefore(final long keep) {
        for (final String name : disk.list()) {
            final int dash = name.indexOf('-');
            if ((name.startsWith("seg-") || name.startsWith("snap-"))
                    && Long.parseLong(name.substring(dash + 1)) < keep) {
                disk.delete(name);
            }
        }
    }

    private static String segName(final long n) {
        return "seg-" + n;
    }

    private static byte[] frame(final byte[] entry, final long synced) {
        final ByteBuffer buf = ByteBuffer.allocate(HEAD + entry.length).order(LITTLE_ENDIAN);
        buf.putInt(entry.length).putInt(0).putLong(synced).put(entry);
        buf.putInt(4, sum(buf.array(), 0, entry.length));
        return buf.array();
    }

    /**
     * Of length, synced bytes and entry; the length is summed too, else a run of zeros would pass for an empty entry.
     */
    private static int sum(final byte[] framed, final int at, final int len) {
        final CRC32C crc = new CRC32C();
        crc.update(framed, at, 4);
        crc.update(framed, at + 8, 8 + len);
        return (int) crc.getValue() ^ 0x5bd1e995;
    }

    private record Scan(List<byte[]> entries, long torn, String damage) {
        boolean isSnapshot() {
            return entries.size() == 1 && torn < 0 && damage == null;
        }
    }

    private static Scan scan(final Disk disk, final String name) {
        final DiskFile file = disk.open(name);
        final byte[] bytes = file.readAll();
        file.close();
        final ByteBuffer buf = ByteBuffer.wrap(bytes).order(LITTLE_ENDIAN);
        final List<byte[]> entries = new ArrayList<>();
        int pos = 0;
        while (pos < bytes.length) {
            final int len = length(buf, pos);
            if (len < 0) {
                // why: writes after the last sync may be missing or torn one by one, so a hole with whole entries
                // behind it is no damage unless
                // one of those says that the hole had been synced
                return provenSynced(buf, pos)
                        ? new Scan(entries, -1, name + ": bad checksum at byte " + pos)
                        : new Scan(entries, pos, null);
            }
            if (len > 0) {
                entries.add(Arrays.copyOfRange(bytes, pos + HEAD, pos + HEAD + len));
            }
            pos += HEAD + len;
        }
        return new Scan(entries, -1, null);
    }

    /** The length of the whole entry at the position, -1 where there is none. */
    @SuppressWarnings("ByteBufferBackingArray") // why: the buffer wraps a whole file from its first byte
    private static int length(final ByteBuffer buf, final int pos) {
        if (buf.capacity() - pos < HEAD) {
            return -1;
        }
        final int len = buf.getInt(pos);
        return len >= 0
                        && len <= MAX_ENTRY
                        && len <= buf.capacity() - pos - HEAD
                        && buf.getLong(pos + 8) >= 0
                        && buf.getLong(pos + 8) <= pos
                        && sum(buf.array(), pos, len) == buf.getInt(pos + 4)
                ? len
                : -1;
    }

    /** Whether a whole entry behind the position says that this position had been synced before it was written. */
    private static boolean provenSynced(final ByteBuffer buf, final int hole) {
        for (int pos = hole + 1; pos <= buf.capacity() - HEAD; pos++) {
            if (buf.getLong(pos + 8) > hole && length(buf, pos) >= 0) {
                return true;
            }
        }
        return false;
    }
}
