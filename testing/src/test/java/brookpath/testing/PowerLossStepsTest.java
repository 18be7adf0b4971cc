package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.state.disk.DiskFile;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.wal.WriteAheadLog;
import brookpath.state.wal.WriteAheadLog.Recovery;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** A loss of power at each operation of a roll in parts, of a take-over from an earlier release, and of a set-aside. */
public final class PowerLossStepsTest {
    private static final int PART_BYTES = 256 << 10;
    /** More than any of the sequences has operations. */
    private static final int MAX_STEPS = 60;

    private static final int SEEDS = 10;
    private static final byte[] ENTRY = {4, 5, 6};

    /** A disk in a state from which a sequence of operations begins. */
    private interface Setup {
        WriteAheadLog begin(StoppingDisk disk);
    }

    private static byte[] contents(final int value, final int length) {
        final byte[] bytes = new byte[length];
        Arrays.fill(bytes, (byte) value);
        return bytes;
    }

    private static void losePower(final StoppingDisk disk, final int seed) {
        disk.stopAfter(Integer.MAX_VALUE);
        if (seed % 2 == 0) {
            disk.content().powerLoss(new SplittableRandom(seed));
        } else {
            disk.content().powerLossByName(new SplittableRandom(seed));
        }
    }

    private static void write(final StoppingDisk disk, final String name, final byte[] bytes) {
        final DiskFile file = disk.open(name);
        file.truncate(0);
        file.append(bytes, 0, bytes.length);
        file.sync();
        file.close();
        disk.syncFolder();
    }

    private static byte[] read(final StoppingDisk disk, final String name) {
        final DiskFile file = disk.open(name);
        final byte[] bytes = file.readAll();
        file.close();
        return bytes;
    }

    /** Rolls from each setup, with a loss of power after each step, and finds the old or the new state, whole. */
    private static void assertOldOrNewState(final Setup setup, final byte[] oldContents, final byte[] newContents) {
        int interrupted = 0;
        int oldStates = 0;
        int newStates = 0;
        for (int step = 0; step < MAX_STEPS; step++) {
            for (int seed = 0; seed < SEEDS; seed++) {
                final StoppingDisk disk = new StoppingDisk();
                final WriteAheadLog log = setup.begin(disk);
                disk.stopAfter(step);
                try {
                    log.roll(ChunkedBuffer.of(newContents));
                } catch (final StoppingDisk.StoppedException ex) {
                    interrupted++;
                }
                losePower(disk, seed);
                final Recovery after = WriteAheadLog.recover(disk);
                assertFalse(after.damaged(), "step " + step + ": " + after.findings());
                final boolean isNew = Arrays.equals(after.snapshot(), newContents);
                assertTrue(isNew || Arrays.equals(after.snapshot(), oldContents), "step " + step + " seed " + seed);
                assertEquals(after.entries().size(), isNew ? 0 : 1, "step " + step + " seed " + seed);
                newStates += isNew ? 1 : 0;
                oldStates += isNew ? 0 : 1;
            }
        }
        assertTrue(interrupted < MAX_STEPS * SEEDS, "the roll never ended within " + MAX_STEPS + " operations");
        assertTrue(oldStates > SEEDS && newStates > SEEDS, oldStates + " old states, " + newStates + " new ones");
    }

    @Test
    public void aRollOfSeveralPartsLeavesTheOldOrTheNewSnapshot() {
        for (final int length : new int[] {2 * PART_BYTES - 1, 2 * PART_BYTES, 2 * PART_BYTES + 1}) {
            final byte[] before = contents(1, length);
            assertOldOrNewState(
                    disk -> {
                        final WriteAheadLog log = WriteAheadLog.recover(disk).writeAheadLog();
                        log.roll(ChunkedBuffer.of(before));
                        log.append(ENTRY);
                        log.sync();
                        return log;
                    },
                    before,
                    contents(2, length));
        }
    }

    @Test
    public void aTakeOverFromAnEarlierReleaseLeavesTheOldOrTheNewSnapshot() {
        final byte[] before = contents(3, PART_BYTES + 7);
        assertOldOrNewState(
                disk -> {
                    writeFormerFolder(disk, before);
                    return WriteAheadLog.recover(disk).writeAheadLog();
                },
                before,
                contents(4, PART_BYTES + 7));
    }

    /** A snapshot of one entry, as earlier releases wrote it, and a segment with one entry. */
    private static void writeFormerFolder(final StoppingDisk disk, final byte[] contents) {
        final WriteAheadLog first = WriteAheadLog.recover(disk).writeAheadLog();
        first.append(contents);
        final byte[] snapshot = read(disk, "seg-0");
        disk.content().wipe();
        final WriteAheadLog second = WriteAheadLog.recover(disk).writeAheadLog();
        second.append(ENTRY);
        final byte[] segment = read(disk, "seg-0");
        disk.content().wipe();
        write(disk, "snap-5", snapshot);
        write(disk, "seg-5", segment);
    }

    /** However a set-aside ends, the next start takes no part of the damaged log for a sound one. */
    @Test
    public void aSetAsideThatIsCutOffIsFinishedByTheNextStart() {
        int interrupted = 0;
        for (int step = 0; step < MAX_STEPS; step++) {
            for (int seed = 0; seed < SEEDS; seed++) {
                final StoppingDisk disk = new StoppingDisk();
                final WriteAheadLog log = WriteAheadLog.recover(disk).writeAheadLog();
                log.roll(ChunkedBuffer.of(contents(1, 1_000)));
                log.append(ENTRY);
                log.sync();
                final byte[] damaged = read(disk, "snap-1.parts");
                damaged[500] ^= 1;
                write(disk, "snap-1.parts", damaged);
                disk.stopAfter(step);
                try {
                    WriteAheadLog.recover(disk, 10);
                } catch (final StoppingDisk.StoppedException ex) {
                    interrupted++;
                }
                losePower(disk, seed);
                final Recovery after = WriteAheadLog.recover(disk, 20);
                assertTrue(after.allEntries().isEmpty(), "step " + step + " seed " + seed);
                // A loss of power by name undoes one half of a rename, which Disk.rename rules out
                if (seed % 2 == 0) {
                    assertIsSetAside(disk.list(), "snap-1.parts", step);
                    assertIsSetAside(disk.list(), "seg-1", step);
                }
            }
        }
        assertTrue(interrupted > SEEDS && interrupted < MAX_STEPS * SEEDS, interrupted + " were interrupted");
    }

    /** The first start has set the file aside, or the second one has. */
    private static void assertIsSetAside(final List<String> names, final String name, final int step) {
        assertTrue(
                names.contains("aside-10-" + name) || names.contains("aside-20-" + name),
                "step " + step + ": " + names);
    }
}
