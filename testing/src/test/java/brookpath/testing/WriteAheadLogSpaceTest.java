package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import brookpath.state.disk.DiskFullException;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.wal.WriteAheadLog;
import brookpath.state.wal.WriteAheadLog.Recovery;
import brookpath.testing.disk.FaultyDisk;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.SkipException;
import org.testng.annotations.Test;

/** The write-ahead log on a full disk, and with a power loss at each step of a roll. */
public final class WriteAheadLogSpaceTest {
    private static final byte[] FIRST = filled(1, 100);
    private static final byte[] SECOND = filled(2, 300);
    private static final byte[] THIRD = filled(3, 50);
    private static final int ROLL_STEPS = 12;
    private static final int SEEDS = 40;

    @Test
    public void aFailedAppendKeepsEarlierEntriesAndCanBeRetried() {
        final FaultyDisk disk = new FaultyDisk();
        final WriteAheadLog writeAheadLog = WriteAheadLog.recover(disk).writeAheadLog();
        writeAheadLog.append(FIRST);
        writeAheadLog.sync();
        disk.capacity(300);
        assertThrows(DiskFullException.class, () -> writeAheadLog.append(SECOND));
        writeAheadLog.sync();
        disk.capacity(Long.MAX_VALUE);
        writeAheadLog.append(SECOND);
        writeAheadLog.sync();
        writeAheadLog.append(THIRD);
        writeAheadLog.sync();
        disk.powerLoss(new SplittableRandom(1));
        final Recovery after = WriteAheadLog.recover(disk);
        assertFalse(after.damaged(), after.findings().toString());
        assertEquals(texts(after), List.of(text(FIRST), text(SECOND), text(THIRD)));
    }

    @Test
    public void aSyncIsValidWithoutSpaceForItsMark() {
        final FaultyDisk disk = new FaultyDisk();
        final WriteAheadLog writeAheadLog = WriteAheadLog.recover(disk).writeAheadLog();
        writeAheadLog.append(FIRST);
        disk.full(true);
        writeAheadLog.sync();
        disk.powerLoss(new SplittableRandom(2));
        disk.full(false);
        assertEquals(texts(WriteAheadLog.recover(disk)), List.of(text(FIRST)));
    }

    /** Guards against a restart that takes what a killed process had not synced for synced (issue 43 A 8). */
    @Test
    public void entriesThatAStartHasReadSurviveALossOfPower() {
        final FaultyDisk disk = new FaultyDisk();
        final WriteAheadLog killed = WriteAheadLog.recover(disk).writeAheadLog();
        killed.append(FIRST);
        killed.sync();
        killed.append(SECOND);
        assertEquals(texts(WriteAheadLog.recover(disk)), List.of(text(FIRST), text(SECOND)));
        for (int seed = 0; seed < SEEDS; seed++) {
            disk.powerLoss(new SplittableRandom(seed));
            assertEquals(texts(WriteAheadLog.recover(disk)), List.of(text(FIRST), text(SECOND)), "seed " + seed);
        }
    }

    @Test
    public void aRollWithoutSpaceForItsSnapshotLeavesTheSegmentInUse() {
        final FaultyDisk disk = new FaultyDisk();
        final WriteAheadLog writeAheadLog = WriteAheadLog.recover(disk).writeAheadLog();
        writeAheadLog.roll(ChunkedBuffer.of(filled(9, 400)));
        writeAheadLog.append(FIRST);
        writeAheadLog.sync();
        disk.capacity(900);
        assertThrows(DiskFullException.class, () -> writeAheadLog.roll(ChunkedBuffer.of(filled(10, 600))));
        writeAheadLog.append(THIRD);
        writeAheadLog.sync();
        disk.powerLoss(new SplittableRandom(3));
        final Recovery after = WriteAheadLog.recover(disk);
        assertFalse(after.damaged(), after.findings().toString());
        assertEquals(text(after.snapshot()), text(filled(9, 400)));
        assertEquals(texts(after), List.of(text(FIRST), text(THIRD)));
        disk.capacity(Long.MAX_VALUE);
        after.writeAheadLog().roll(ChunkedBuffer.of(filled(10, 600)));
        assertEquals(text(WriteAheadLog.recover(disk).snapshot()), text(filled(10, 600)));
    }

    @Test
    public void aPowerLossAtEachStepOfARollLosesNothing() {
        int interrupted = 0;
        int rolled = 0;
        for (int step = 0; step < ROLL_STEPS; step++) {
            for (int seed = 0; seed < SEEDS; seed++) {
                final StoppingDisk disk = new StoppingDisk();
                final WriteAheadLog writeAheadLog = WriteAheadLog.recover(disk).writeAheadLog();
                writeAheadLog.roll(ChunkedBuffer.of(filled(7, 200)));
                writeAheadLog.append(FIRST);
                writeAheadLog.sync();
                disk.stopAfter(step);
                try {
                    writeAheadLog.roll(ChunkedBuffer.of(filled(8, 200)));
                } catch (final StoppingDisk.StoppedException ex) {
                    interrupted++;
                }
                disk.stopAfter(Integer.MAX_VALUE);
                if (seed % 2 == 0) {
                    disk.content().powerLoss(new SplittableRandom(seed));
                } else {
                    disk.content().powerLossByName(new SplittableRandom(seed));
                }
                final Recovery after = WriteAheadLog.recover(disk);
                assertFalse(after.damaged(), "step " + step + ": " + after.findings());
                final boolean isOld = text(after.snapshot()).equals(text(filled(7, 200)));
                assertTrue(isOld || text(after.snapshot()).equals(text(filled(8, 200))), "step " + step);
                assertEquals(texts(after), isOld ? List.of(text(FIRST)) : List.of(), "step " + step);
                rolled += isOld ? 0 : 1;
                assertNextRollIsComplete(disk, after.writeAheadLog());
            }
        }
        assertTrue(
                interrupted > 100 && rolled > 20, interrupted + " rolls were interrupted, " + rolled + " took effect");
    }

    /** The remains of an interrupted roll must not become part of the next one. */
    private static void assertNextRollIsComplete(final StoppingDisk disk, final WriteAheadLog log) {
        log.append(THIRD);
        log.sync();
        log.roll(ChunkedBuffer.of(filled(11, 100)));
        log.append(SECOND);
        log.sync();
        final Recovery again = WriteAheadLog.recover(disk);
        assertEquals(text(again.snapshot()), text(filled(11, 100)));
        assertEquals(texts(again), List.of(text(SECOND)));
    }

    /** The error message of the operating system for a full disk is recognized. */
    @Test
    public void aFullDeviceIsRecognizedByItsErrorMessage() throws IOException {
        final Path full = Path.of("/dev/full");
        if (!Files.exists(full)) {
            throw new SkipException("this system has no /dev/full");
        }
        try (FileChannel channel = FileChannel.open(full, StandardOpenOption.WRITE)) {
            channel.write(ByteBuffer.wrap(FIRST));
            throw new AssertionError("the full device accepted a write");
        } catch (final IOException ex) {
            assertTrue(DiskFullException.ofWrite(ex) instanceof DiskFullException, ex.toString());
        }
        assertFalse(DiskFullException.ofWrite(new IOException("Input/output error")) instanceof DiskFullException);
    }

    private static byte[] filled(final int value, final int length) {
        final byte[] bytes = new byte[length];
        Arrays.fill(bytes, (byte) value);
        return bytes;
    }

    private static String text(final byte[] bytes) {
        return bytes == null ? "none" : Arrays.toString(bytes);
    }

    private static List<String> texts(final Recovery recovery) {
        return recovery.entries().stream().map(WriteAheadLogSpaceTest::text).toList();
    }
}
