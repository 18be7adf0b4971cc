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

/** A disk in memory that loses, at a power loss, what was not synced: bytes, new names, renames and deletions alike. */
public final class FaultyDisk implements Disk {
    private static final class Data {
        byte[] bytes = new byte[256];
        int len;
        int synced;
        /** Where each write since the last sync began. */
        final List<Integer> unsynced = new ArrayList<>();
    }

    private final TreeMap<String, Data> names = new TreeMap<>();
    private TreeMap<String, Data> durable = new TreeMap<>();
    private boolean failing;
    private boolean full;
    private long capacity = Long.MAX_VALUE;
    private long syncs;

    /** Whether every sync fails from now on. */
    public void failing(final boolean on) {
        failing = on;
    }

    /** No byte more fits. */
    public void full(final boolean on) {
        full = on;
    }

    /** As many bytes fit, in all files together. */
    public void capacity(final long bytes) {
        capacity = bytes;
    }

    private long room() {
        return full
                ? 0
                : capacity - names.values().stream().mapToLong(d -> d.len).sum();
    }

    /** How many syncs there were. */
    public long syncs() {
        return syncs;
    }

    /**
     * Power goes: of each file the synced part stays, and by chance some of what followed: each write whole, torn or
     * missing.
     */
    public void powerLoss(final SplittableRandom random) {
        names.clear();
        names.putAll(durable);
        for (final Data d : names.values()) {
            final int kept = d.synced + (d.len > d.synced ? random.nextInt(d.len - d.synced + 1) : 0);
            if (kept > d.synced && random.nextInt(3) == 0) {
                // why: a file system may have grown the file without having written its blocks
                Arrays.fill(d.bytes, d.synced, kept, (byte) 0);
            }
            for (int i = 0; i < d.unsynced.size(); i++) {
                final int from = d.unsynced.get(i);
                final int to = i + 1 < d.unsynced.size() ? d.unsynced.get(i + 1) : d.len;
                // why: a later write may have reached the disk though an earlier one did not
                final int lost = random.nextInt(4) == 0 ? random.nextInt(2) * (to - from) / 2 : to - from;
                Arrays.fill(d.bytes, from + lost, Math.max(to, from + lost), (byte) 0);
            }
            d.unsynced.clear();
            d.len = random.nextBoolean() ? d.synced : kept;
            d.synced = d.len;
        }
    }

    /** As {@link #powerLoss}, and each name made or removed since the folder was synced is kept or lost by itself. */
    public void powerLossByName(final SplittableRandom random) {
        final TreeMap<String, Data> left = new TreeMap<>();
        names.forEach((name, d) -> {
            if (durable.get(name) == d || random.nextBoolean()) {
                left.put(name, d);
            }
        });
        durable.forEach((name, d) -> {
            if (names.get(name) != d && random.nextBoolean()) {
                left.putIfAbsent(name, d);
            }
        });
        durable = left;
        powerLoss(random);
    }

    /** Loses everything, as a new disk in the machine. */
    public void wipe() {
        names.clear();
        durable.clear();
    }

    /** Puts bytes in the place of others of the same length, with all sums right, as no disk does by itself. */
    public void replace(final byte[] was, final byte[] is) {
        final WriteAheadLog.Inspection now = WriteAheadLog.inspect(this);
        wipe();
        final WriteAheadLog writeAheadLog = WriteAheadLog.recover(this).writeAheadLog();
        for (final byte[] entry : now.allEntries()) {
            writeAheadLog.append(swapped(entry, was, is));
        }
        writeAheadLog.sync();
    }

    private static byte[] swapped(final byte[] entry, final byte[] was, final byte[] is) {
        for (int i = 0; i + was.length <= entry.length; i++) {
            if (Arrays.equals(entry, i, i + was.length, was, 0, was.length)) {
                final byte[] out = entry.clone();
                System.arraycopy(is, 0, out, i, is.length);
                return out;
            }
        }
        return entry;
    }

    /** Flips one bit amid the newest segment; false where there is none. */
    public boolean corrupt(final SplittableRandom random) {
        for (final String name : names.descendingKeySet()) {
            final Data d = names.get(name);
            if (name.startsWith("seg-") && d.synced > 64) {
                final int at = random.nextInt(d.synced / 2);
                d.bytes[at] = (byte) (d.bytes[at] ^ 1 << random.nextInt(8));
                return true;
            }
        }
        return false;
    }

    @Override
    public DiskFile open(final String name) {
        return new Handle(names.computeIfAbsent(name, k -> new Data()));
    }

    @Override
    public List<String> list() {
        return new ArrayList<>(names.keySet());
    }

    @Override
    public void delete(final String name) {
        names.remove(name);
    }

    @Override
    public void rename(final String from, final String to) {
        names.put(to, names.remove(from));
    }

    @Override
    public void syncFolder() {
        check();
        durable = new TreeMap<>(names);
    }

    private void check() {
        if (failing) {
            throw new UncheckedIOException(new IOException("sync failed"));
        }
        syncs++;
    }

    private final class Handle implements DiskFile {
        private final Data d;

        Handle(final Data d) {
            this.d = d;
        }

        @Override
        public long size() {
            return d.len;
        }

        @Override
        public void append(final byte[] bytes, final int off, final int len) {
            final long room = full || capacity < Long.MAX_VALUE ? room() : Long.MAX_VALUE;
            if (room < len) {
                // why: a disk takes what still fits before it says that it is full; a full one may as well take nothing
                put(bytes, off, (int) Math.max(0, room));
                throw new DiskFullException(new IOException("No space left on device"));
            }
            put(bytes, off, len);
        }

        private void put(final byte[] bytes, final int off, final int len) {
            if (d.len + len > d.bytes.length) {
                d.bytes = Arrays.copyOf(d.bytes, Math.max(d.bytes.length * 2, d.len + len));
            }
            System.arraycopy(bytes, off, d.bytes, d.len, len);
            d.unsynced.add(d.len);
            d.len += len;
        }

        @Override
        public byte[] readAll() {
            return Arrays.copyOf(d.bytes, d.len);
        }

        @Override
        public void sync() {
            check();
            d.synced = d.len;
            d.unsynced.clear();
        }

        @Override
        public void truncate(final long size) {
            d.len = (int) size;
            d.synced = Math.min(d.synced, d.len);
            d.unsynced.removeIf(from -> from >= d.len);
        }

        @Override
        public void close() {
            // why: nothing is held
        }
    }
}
