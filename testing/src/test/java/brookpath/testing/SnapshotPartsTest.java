package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import brookpath.state.disk.Disk;
import brookpath.state.disk.DiskFile;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.wal.CorruptLogException;
import brookpath.state.wal.EntryTooLargeException;
import brookpath.state.wal.WriteAheadLog;
import brookpath.state.wal.WriteAheadLog.Recovery;
import brookpath.testing.disk.FaultyDisk;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Snapshots in parts: what is read, what is taken for damage, and that no sound or damaged file is deleted. */
public final class SnapshotPartsTest {
    private static final int PART_BYTES = 256 << 10;
    private static final int ENTRY_HEADER_BYTES = 16;
    private static final String SNAPSHOT = "snap-1.parts";
    private static final String SEGMENT = "seg-1";
    private static final byte[] ENTRY = {1, 2, 3};

    private static byte[] contents(final int length) {
        final byte[] bytes = new byte[length];
        new SplittableRandom(length).nextBytes(bytes);
        return bytes;
    }

    /** A disk with a snapshot of several parts and one entry in the segment after it. */
    private static FaultyDisk diskWithSnapshot(final byte[] contents) {
        final FaultyDisk disk = new FaultyDisk();
        final WriteAheadLog log = WriteAheadLog.recover(disk).writeAheadLog();
        log.roll(ChunkedBuffer.of(contents));
        log.append(ENTRY);
        log.sync();
        return disk;
    }

    private static byte[] read(final Disk disk, final String name) {
        final DiskFile file = disk.open(name);
        final byte[] bytes = file.readAll();
        file.close();
        return bytes;
    }

    private static void write(final Disk disk, final String name, final byte[] bytes) {
        final DiskFile file = disk.open(name);
        file.truncate(0);
        file.append(bytes, 0, bytes.length);
        file.sync();
        file.close();
        disk.syncFolder();
    }

    private static List<byte[]> entries(final byte[] file) {
        final List<byte[]> entries = new ArrayList<>();
        final ByteBuffer buffer = ByteBuffer.wrap(file).order(ByteOrder.LITTLE_ENDIAN);
        for (int at = 0; at < file.length; ) {
            final int end = at + ENTRY_HEADER_BYTES + buffer.getInt(at);
            entries.add(Arrays.copyOfRange(file, at, end));
            at = end;
        }
        return entries;
    }

    private static byte[] joined(final List<byte[]> entries) {
        final ByteBuffer file =
                ByteBuffer.allocate(entries.stream().mapToInt(e -> e.length).sum());
        entries.forEach(file::put);
        return file.array();
    }

    /** The entry with another version in its part, and a checksum that is valid again. */
    private static byte[] ofUnknownVersion(final byte[] entry) {
        final ByteBuffer changed = ByteBuffer.wrap(entry.clone()).order(ByteOrder.LITTLE_ENDIAN);
        changed.putInt(ENTRY_HEADER_BYTES, 9);
        final CRC32C crc = new CRC32C();
        crc.update(changed.array(), 0, 4);
        crc.update(changed.array(), 8, entry.length - 8);
        changed.putInt(4, (int) crc.getValue() ^ 0x5bd1e995);
        return changed.array();
    }

    @Test
    public void contentsAroundTheSizeOfAPartAreReadBack() {
        for (final int parts : new int[] {0, 1, 2}) {
            for (int difference = -1; difference <= 1; difference++) {
                final byte[] contents = contents(Math.max(0, parts * PART_BYTES + difference));
                final Recovery recovery = WriteAheadLog.recover(diskWithSnapshot(contents));
                assertFalse(recovery.damaged(), recovery.findings().toString());
                assertTrue(Arrays.equals(recovery.snapshot(), contents), contents.length + " bytes");
                assertEquals(recovery.entries().size(), 1);
            }
        }
    }

    @DataProvider
    public Object[][] badSnapshots() {
        final List<byte[]> parts = entries(read(diskWithSnapshot(contents(5 * PART_BYTES / 2)), SNAPSHOT));
        assertEquals(parts.size(), 4);
        final int second = parts.get(0).length;
        final int third = second + parts.get(1).length;
        final int end = joined(parts).length;
        return new Object[][] {
            {"a part is missing", List.of(0, 2, 3), "part out of sequence at byte " + second},
            {"a part stands twice", List.of(0, 1, 1, 2, 3), "part out of sequence at byte " + third},
            {"the parts are in another order", List.of(1, 0, 2, 3), "part out of sequence at byte 0"},
            {"the closing part stands alone", List.of(3), "part out of sequence at byte 0"},
            {
                "there is no closing part",
                List.of(0, 1, 2),
                "snapshot without its last parts at byte " + (end - parts.get(3).length)
            },
            {"the file is empty", List.of(), "snapshot without its last parts at byte 0"},
            {
                "parts follow the closing part",
                List.of(0, 1, 2, 3, 3),
                "data after the end of the snapshot at byte " + end
            },
        };
    }

    @Test(dataProvider = "badSnapshots")
    public void aBadSnapshotIsNamedWithItsOffsetAndSetAside(
            final String name, final List<Integer> order, final String finding) {
        final FaultyDisk disk = diskWithSnapshot(contents(5 * PART_BYTES / 2));
        final List<byte[]> parts = entries(read(disk, SNAPSHOT));
        write(disk, SNAPSHOT, joined(order.stream().map(parts::get).toList()));
        assertSetAside(name, disk, SNAPSHOT + ": " + finding);
    }

    @Test
    public void aSnapshotOfAnUnknownVersionIsNamedAndSetAside() {
        final FaultyDisk disk = diskWithSnapshot(contents(PART_BYTES));
        final List<byte[]> parts = new ArrayList<>(entries(read(disk, SNAPSHOT)));
        parts.set(0, ofUnknownVersion(parts.get(0)));
        write(disk, SNAPSHOT, joined(parts));
        assertSetAside("unknown version", disk, SNAPSHOT + ": snapshot of an unknown version at byte 0");
    }

    /** Guards against a wrong reader that costs the only copy of the data: nothing is deleted. */
    private static void assertSetAside(final String name, final FaultyDisk disk, final String finding) {
        final byte[] snapshot = read(disk, SNAPSHOT);
        final byte[] segment = read(disk, SEGMENT);
        assertTrue(WriteAheadLog.inspect(disk).findings().contains(finding), name);
        assertFalse(new ArrayList<>(disk.list()).isEmpty());
        final Recovery recovery = WriteAheadLog.recover(disk, 1_234);
        assertTrue(recovery.damaged(), name);
        assertTrue(recovery.findings().contains(finding), name + ": " + recovery.findings());
        assertTrue(recovery.allEntries().isEmpty(), name);
        assertTrue(Arrays.equals(read(disk, "aside-1234-" + SNAPSHOT), snapshot), name);
        assertTrue(Arrays.equals(read(disk, "aside-1234-" + SEGMENT), segment), name);
        recovery.writeAheadLog().append(ENTRY);
        recovery.writeAheadLog().sync();
        assertEquals(WriteAheadLog.recover(disk).entries().size(), 1, name);
    }

    @Test
    public void onlyTheNewestTwoDamagedLogsAreKept() {
        final FaultyDisk disk = new FaultyDisk();
        for (int time = 1; time <= 4; time++) {
            final WriteAheadLog log = WriteAheadLog.recover(disk).writeAheadLog();
            log.roll(ChunkedBuffer.of(contents(100)));
            write(disk, SNAPSHOT, new byte[0]);
            assertTrue(WriteAheadLog.recover(disk, time).damaged());
        }
        final List<String> kept =
                disk.list().stream().filter(n -> n.startsWith("aside-")).toList();
        assertEquals(
                kept,
                List.of("aside-3-" + SEGMENT, "aside-3-" + SNAPSHOT, "aside-4-" + SEGMENT, "aside-4-" + SNAPSHOT));
    }

    @Test
    public void damagedLogsAreDroppedWhenTheDiskIsFull() {
        final FaultyDisk disk = diskWithSnapshot(contents(10_000));
        write(disk, SNAPSHOT, new byte[9_000]);
        final WriteAheadLog log = WriteAheadLog.recover(disk).writeAheadLog();
        disk.capacity(12_000);
        log.append(new byte[5_000]);
        log.sync();
        assertTrue(
                disk.list().stream().noneMatch(n -> n.startsWith("aside-")),
                disk.list().toString());
        assertEquals(WriteAheadLog.recover(disk).entries().size(), 1);
    }

    /** Folders of the build before: one entry in a file without the ending; it is replaced at the next roll. */
    @Test
    public void aSnapshotOfAnEarlierReleaseIsReadAndTakenOverByTheNextRoll() {
        final byte[] contents = contents(3 * PART_BYTES);
        final FaultyDisk disk = new FaultyDisk();
        final WriteAheadLog formatter = WriteAheadLog.recover(disk).writeAheadLog();
        formatter.append(contents);
        formatter.sync();
        final byte[] oneEntry = entries(read(disk, "seg-0")).get(0);
        disk.wipe();
        write(disk, "snap-7", oneEntry);
        write(disk, "seg-7", new byte[0]);
        final Recovery recovery = WriteAheadLog.recover(disk);
        assertFalse(recovery.damaged(), recovery.findings().toString());
        assertTrue(Arrays.equals(recovery.snapshot(), contents));
        assertTrue(recovery.writeAheadLog().isIntact());
        recovery.writeAheadLog().roll(ChunkedBuffer.of(contents));
        assertEquals(disk.list(), List.of("seg-8", "snap-8.parts"));
        assertTrue(Arrays.equals(WriteAheadLog.recover(disk).snapshot(), contents));
    }

    /**
     * What an earlier release does with a snapshot in parts, and this one with a later form: it leaves all as it is.
     */
    @Test
    public void aFileNameOfAnUnknownFormStopsTheStartAndNothingIsDeleted() {
        final FaultyDisk disk = diskWithSnapshot(contents(100));
        write(disk, "snap-2.other", new byte[10]);
        final List<String> before = new ArrayList<>(disk.list());
        assertThrows(CorruptLogException.class, () -> WriteAheadLog.recover(disk));
        assertEquals(disk.list(), before);
    }

    @Test
    public void anEntryAboveTheLimitIsRefusedWhenItIsWritten() {
        final FaultyDisk disk = new FaultyDisk();
        final WriteAheadLog log = WriteAheadLog.recover(disk).writeAheadLog();
        assertThrows(EntryTooLargeException.class, () -> log.append(new byte[WriteAheadLog.MAX_ENTRY_BYTES + 1]));
        log.append(ENTRY);
        log.sync();
        assertEquals(WriteAheadLog.recover(disk).entries().size(), 1);
    }

    private static WriteAheadLog.ScrubState scrubPass(final WriteAheadLog log, final int sliceBytes) {
        WriteAheadLog.ScrubState state = WriteAheadLog.ScrubState.IN_PROGRESS;
        for (int slices = 0; state == WriteAheadLog.ScrubState.IN_PROGRESS; slices++) {
            assertTrue(slices < 1_000, "the pass does not end");
            state = log.scrub(sliceBytes);
        }
        return state;
    }

    /** A flipped bit anywhere in snapshot or segment is found by a pass in slices, as by reading everything. */
    @Test
    public void aScrubInSlicesFindsDamageAnywhere() {
        for (long seed = 1; seed <= 40; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final FaultyDisk disk = diskWithSnapshot(contents(3 * PART_BYTES));
            final WriteAheadLog log = WriteAheadLog.recover(disk).writeAheadLog();
            for (int i = 0; i < 20; i++) {
                log.append(contents(1 + random.nextInt(500)));
            }
            log.sync();
            final int sliceBytes = 1 + random.nextInt(2 * PART_BYTES);
            assertEquals(scrubPass(log, sliceBytes), WriteAheadLog.ScrubState.INTACT, "seed " + seed);
            final String name = random.nextBoolean() ? SNAPSHOT : SEGMENT;
            final byte[] bytes = read(disk, name);
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            write(disk, name, bytes);
            assertFalse(log.isIntact(), "seed " + seed);
            assertEquals(scrubPass(log, sliceBytes), WriteAheadLog.ScrubState.DAMAGED, "seed " + seed);
        }
    }

    @Test
    public void aScrubBeginsAnewAfterARollAndBesideAppends() {
        final FaultyDisk disk = diskWithSnapshot(contents(3 * PART_BYTES));
        final WriteAheadLog log = WriteAheadLog.recover(disk).writeAheadLog();
        assertEquals(log.scrub(1), WriteAheadLog.ScrubState.IN_PROGRESS);
        log.append(ENTRY);
        assertEquals(log.scrub(1), WriteAheadLog.ScrubState.IN_PROGRESS);
        log.roll(ChunkedBuffer.of(contents(PART_BYTES)));
        log.append(ENTRY);
        log.sync();
        assertEquals(scrubPass(log, 1), WriteAheadLog.ScrubState.INTACT);
    }
}
