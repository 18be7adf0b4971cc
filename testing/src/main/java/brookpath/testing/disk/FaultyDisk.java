package brookpath.testing.disk;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.state.disk.DiskFullException;
import brookpath.state.wal.WriteAheadLog;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** An in-memory disk that loses on power loss whatever was not synced: bytes, new files, renames and deletions. */
public final class FaultyDisk implements Disk {
    private static final class FileContent {
        byte[] bytes = new byte[256];
        int len;
        int synced;
        /** The start offset of each write since the last sync. */
        final List<Integer> unsynced = new ArrayList<>();
    }

    private final TreeMap<String, FileContent> files = new TreeMap<>();
    private TreeMap<String, FileContent> durableFiles = new TreeMap<>();
    private boolean failing;
    private boolean full;
    private long capacity = Long.MAX_VALUE;
    private long syncs;

    /** Sets whether every sync fails. */
    public void failing(final boolean enabled) {
        failing = enabled;
    }

    /** Sets whether the disk is full, so that not a single further byte can be written. */
    public void full(final boolean enabled) {
        full = enabled;
    }

    /** Limits the total size of all files. */
    public void capacity(final long bytes) {
        capacity = bytes;
    }

    private long freeBytes() {
        return full
                ? 0
                : capacity - files.values().stream().mapToLong(file -> file.len).sum();
    }

    /** The number of successful syncs of files and of the folder. */
    public long syncs() {
        return syncs;
    }

    /**
     * Simulates a power loss: the synced part of each file survives, and at random some of the writes after it, each of
     * them complete, torn or missing.
     */
    public void powerLoss(final SplittableRandom random) {
        files.clear();
        files.putAll(durableFiles);
        for (final FileContent file : files.values()) {
            final int survivingLength =
                    file.synced + (file.len > file.synced ? random.nextInt(file.len - file.synced + 1) : 0);
            if (survivingLength > file.synced && random.nextInt(3) == 0) {
                // a file system may extend a file before it writes the blocks, which then read as zeros
                Arrays.fill(file.bytes, file.synced, survivingLength, (byte) 0);
            }
            for (int i = 0; i < file.unsynced.size(); i++) {
                final int from = file.unsynced.get(i);
                final int to = i + 1 < file.unsynced.size() ? file.unsynced.get(i + 1) : file.len;
                // a later write may have reached the disk although an earlier one did not
                final int written = random.nextInt(4) == 0 ? random.nextInt(2) * (to - from) / 2 : to - from;
                Arrays.fill(file.bytes, from + written, Math.max(to, from + written), (byte) 0);
            }
            file.unsynced.clear();
            file.len = random.nextBoolean() ? file.synced : survivingLength;
            file.synced = file.len;
        }
    }

    /** As {@link #powerLoss}, but each file creation and deletion since the last folder sync survives independently. */
    public void powerLossByName(final SplittableRandom random) {
        final TreeMap<String, FileContent> survivors = new TreeMap<>();
        files.forEach((name, file) -> {
            if (durableFiles.get(name) == file || random.nextBoolean()) {
                survivors.put(name, file);
            }
        });
        durableFiles.forEach((name, file) -> {
            if (files.get(name) != file && random.nextBoolean()) {
                survivors.putIfAbsent(name, file);
            }
        });
        durableFiles = survivors;
        powerLoss(random);
    }

    /** Removes all files, as if the disk had been replaced by a new one. */
    public void wipe() {
        files.clear();
        durableFiles.clear();
    }

    /** Replaces bytes in the log by others of the same length with valid checksums, which no disk fault can produce. */
    public void replace(final byte[] oldBytes, final byte[] newBytes) {
        final List<byte[]> entries = List.copyOf(WriteAheadLog.inspect(this).allEntries());
        wipe();
        final WriteAheadLog writeAheadLog = WriteAheadLog.recover(this).writeAheadLog();
        for (final byte[] entry : entries) {
            writeAheadLog.append(withReplacement(entry, oldBytes, newBytes));
        }
        writeAheadLog.sync();
    }

    private static byte[] withReplacement(final byte[] entry, final byte[] oldBytes, final byte[] newBytes) {
        for (int i = 0; i + oldBytes.length <= entry.length; i++) {
            if (Arrays.equals(entry, i, i + oldBytes.length, oldBytes, 0, oldBytes.length)) {
                final byte[] out = entry.clone();
                System.arraycopy(newBytes, 0, out, i, newBytes.length);
                return out;
            }
        }
        return entry;
    }

    /** Flips a bit in the first half of the synced part of the newest segment; false if no segment is long enough. */
    public boolean corrupt(final SplittableRandom random) {
        for (final String name : files.descendingKeySet()) {
            final FileContent file = files.get(name);
            if (name.startsWith("seg-") && file.synced > 64) {
                final int at = random.nextInt(file.synced / 2);
                file.bytes[at] = (byte) (file.bytes[at] ^ 1 << random.nextInt(8));
                return true;
            }
        }
        return false;
    }

    @Override
    public DiskFile open(final String name) {
        return new Handle(files.computeIfAbsent(name, k -> new FileContent()));
    }

    @Override
    public List<String> list() {
        return new ArrayList<>(files.keySet());
    }

    @Override
    public void delete(final String name) {
        files.remove(name);
    }

    @Override
    public void rename(final String from, final String to) {
        files.put(to, files.remove(from));
    }

    @Override
    public void syncFolder() {
        countSyncOrFail();
        durableFiles = new TreeMap<>(files);
    }

    private void countSyncOrFail() {
        if (failing) {
            throw new UncheckedIOException(new IOException("sync failed"));
        }
        syncs++;
    }

    private final class Handle implements DiskFile {
        private final FileContent file;

        Handle(final FileContent file) {
            this.file = file;
        }

        @Override
        public long size() {
            return file.len;
        }

        @Override
        public void append(final byte[] bytes, final int off, final int len) {
            final long freeBytes = full || capacity < Long.MAX_VALUE ? freeBytes() : Long.MAX_VALUE;
            if (freeBytes < len) {
                // a disk may write what still fits before it reports that it is full; a full one writes nothing
                put(bytes, off, (int) Math.max(0, freeBytes));
                throw new DiskFullException(new IOException("No space left on device"));
            }
            put(bytes, off, len);
        }

        private void put(final byte[] bytes, final int off, final int len) {
            if (file.len + len > file.bytes.length) {
                file.bytes = Arrays.copyOf(file.bytes, Math.max(file.bytes.length * 2, file.len + len));
            }
            System.arraycopy(bytes, off, file.bytes, file.len, len);
            file.unsynced.add(file.len);
            file.len += len;
        }

        @Override
        public int read(final long position, final byte[] target, final int off, final int len) {
            final int count = (int) Math.max(0, Math.min(len, file.len - position));
            System.arraycopy(file.bytes, (int) Math.min(position, file.len), target, off, count);
            return count;
        }

        @Override
        public void sync() {
            countSyncOrFail();
            file.synced = file.len;
            file.unsynced.clear();
        }

        @Override
        public void truncate(final long size) {
            file.len = (int) size;
            file.synced = Math.min(file.synced, file.len);
            file.unsynced.removeIf(from -> from >= file.len);
        }

        @Override
        public void close() {
            // no resource is held
        }
    }
}
