package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.PackedBuffer;
import brookpath.state.wal.WriteAheadLog;
import brookpath.testing.disk.FaultyDisk;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Snapshots of a large state: their layout, and the memory that they take beside the state. */
public final class SnapshotMemoryTest {
    private static final int RECORDS = 1_000;
    private static final int RECORD_BYTES = 16 << 10;
    private static final long STATE_BYTES = (long) RECORDS * RECORD_BYTES;
    /** Beside the state, a roll needs a block to write, and the fields between the records. */
    private static final long MAX_ROLL_BYTES = STATE_BYTES / 10;

    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    /** A disk that drops what is written, so that it allocates nothing itself. */
    private static final class DiscardingDisk implements Disk {
        @Override
        public DiskFile open(final String name) {
            return new DiscardingFile();
        }

        @Override
        public List<String> list() {
            return List.of();
        }

        @Override
        public void delete(final String name) {
            // there are no files
        }

        @Override
        public void rename(final String from, final String to) {
            // there are no files
        }

        @Override
        public void syncFolder() {
            // there are no files
        }
    }

    private static final class DiscardingFile implements DiskFile {
        @Override
        public long size() {
            return 0;
        }

        @Override
        public void append(final byte[] bytes, final int off, final int len) {
            // dropped
        }

        @Override
        public int read(final long position, final byte[] target, final int off, final int len) {
            return 0;
        }

        @Override
        public void sync() {
            // nothing is kept
        }

        @Override
        public void truncate(final long size) {
            // nothing is kept
        }

        @Override
        public void close() {
            // nothing is open
        }
    }

    private static List<byte[]> records() {
        final List<byte[]> records = new ArrayList<>();
        for (int i = 0; i < RECORDS; i++) {
            records.add(new byte[RECORD_BYTES]);
        }
        return records;
    }

    private static long allocatedBytes() {
        return THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    private static ChunkedBuffer snapshot(final List<byte[]> records) {
        final ChunkedBuffer log = new ChunkedBuffer().putLong(1);
        records.forEach(log::putBytes);
        return new ChunkedBuffer().putBytes(new ChunkedBuffer().putLong(2).putBytes(log));
    }

    /** Guards against rolls that copy the complete state several times, so that a storage node runs out of heap. */
    @Test
    public void rollAllocatesLittleBesideTheState() {
        final List<byte[]> records = records();
        final WriteAheadLog log = WriteAheadLog.recover(new DiscardingDisk()).writeAheadLog();
        final long before = allocatedBytes();
        final ChunkedBuffer snapshot = snapshot(records);
        log.roll(snapshot);
        final long allocated = allocatedBytes() - before;
        assertTrue(snapshot.sizeBytes() > STATE_BYTES);
        assertTrue(allocated < MAX_ROLL_BYTES, allocated + " bytes were allocated for a state of " + STATE_BYTES);
    }

    /** Guards against a start that holds a second copy of the snapshot while it replays it. */
    @Test
    public void entriesOfARecoveredSnapshotAreNotCopiedBeforeTheyAreRead() {
        final FaultyDisk disk = new FaultyDisk();
        WriteAheadLog.recover(disk).writeAheadLog().roll(snapshot(records()));
        final WriteAheadLog.Recovery recovery = WriteAheadLog.recover(disk);
        final long before = allocatedBytes();
        final int entries = recovery.allEntries().size();
        final long allocated = allocatedBytes() - before;
        assertEquals(entries, 1);
        assertTrue(allocated < MAX_ROLL_BYTES, allocated + " bytes were allocated for a state of " + STATE_BYTES);
    }

    @Test
    public void chunkedBufferHasTheLayoutOfAPackedBuffer() {
        for (long seed = 1; seed <= 50; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final PackedBuffer packed = PackedBuffer.writer();
            final ChunkedBuffer chunked = new ChunkedBuffer();
            for (int i = 0; i < 200; i++) {
                final byte[] field = new byte[random.nextInt(random.nextBoolean() ? 64 : 20_000)];
                random.nextBytes(field);
                switch (random.nextInt(3)) {
                    case 0 -> {
                        packed.putLong(i);
                        chunked.putLong(i);
                    }
                    case 1 -> {
                        packed.putBytes(field);
                        chunked.putBytes(field);
                    }
                    default -> {
                        packed.putBytes(field);
                        chunked.putBytes(ChunkedBuffer.of(field));
                    }
                }
            }
            assertEquals(chunked.sizeBytes(), packed.sizeBytes(), "seed " + seed);
            assertTrue(Arrays.equals(chunked.toByteArray(), packed.toByteArray()), "seed " + seed);
        }
    }
}
