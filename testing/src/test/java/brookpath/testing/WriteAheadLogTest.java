package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.state.wal.WriteAheadLog;
import brookpath.state.wal.WriteAheadLog.Recovery;
import brookpath.testing.disk.FaultyDisk;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** The write-ahead log against an oracle: a list of what was written, and how much of it was synced. */
public final class WriteAheadLogTest {
    @Test
    public void whatWasSyncedComesBackAfterPowerLoss() {
        int cut = 0;
        for (long seed = 0; seed < 300; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final FaultyDisk disk = new FaultyDisk();
            WriteAheadLog writeAheadLog = WriteAheadLog.recover(disk).writeAheadLog();
            List<byte[]> written = new ArrayList<>();
            byte[] snapshot = null;
            int synced = 0;
            for (int i = 0; i < 200; i++) {
                switch (random.nextInt(12)) {
                    case 0 -> {
                        writeAheadLog.sync();
                        synced = written.size();
                    }
                    case 1 -> {
                        if (random.nextInt(4) == 0) {
                            snapshot = bytes(random);
                            writeAheadLog.roll(snapshot);
                            written = new ArrayList<>();
                            synced = 0;
                        }
                    }
                    case 2 -> {
                        if (random.nextInt(6) == 0) {
                            disk.powerLoss(random);
                            final Recovery logRecord = WriteAheadLog.recover(disk);
                            assertFalse(logRecord.damaged(), "seed " + seed + ": " + logRecord.findings());
                            assertTrue(
                                    snapshot == null
                                            ? logRecord.snapshot() == null
                                            : Arrays.equals(snapshot, logRecord.snapshot()),
                                    "seed " + seed);
                            assertTrue(
                                    logRecord.entries().size() >= synced
                                            && logRecord.entries().size() <= written.size(),
                                    "seed " + seed);
                            for (int e = 0; e < logRecord.entries().size(); e++) {
                                assertEquals(
                                        logRecord.entries().get(e), written.get(e), "seed " + seed + " entry " + e);
                            }
                            cut += written.size() - logRecord.entries().size();
                            written = new ArrayList<>(logRecord.entries());
                            synced = written.size();
                            writeAheadLog = logRecord.writeAheadLog();
                        }
                    }
                    default -> {
                        final byte[] entry = bytes(random);
                        writeAheadLog.append(entry);
                        written.add(entry);
                    }
                }
            }
        }
        assertTrue(cut > 100, "power losses cut only " + cut + " entries");
    }

    @Test
    public void damageAmidTheLogIsNeverTakenForATornTail() {
        int damaged = 0;
        for (long seed = 0; seed < 300; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final FaultyDisk disk = new FaultyDisk();
            final WriteAheadLog writeAheadLog = WriteAheadLog.recover(disk).writeAheadLog();
            final int n = 20 + random.nextInt(30);
            for (int i = 0; i < n; i++) {
                writeAheadLog.append(bytes(random));
            }
            writeAheadLog.sync();
            if (!disk.corrupt(random)) {
                continue;
            }
            final Recovery logRecord = WriteAheadLog.recover(disk);
            damaged += logRecord.damaged() ? 1 : 0;
            assertTrue(
                    logRecord.damaged()
                            || (logRecord.entries().size() < n
                                    && !logRecord.findings().isEmpty()),
                    "seed " + seed + " took damage for whole");
        }
        assertTrue(damaged > 200, "only " + damaged + " damages were seen");
    }

    private static byte[] bytes(final SplittableRandom random) {
        final byte[] v = new byte[1 + random.nextInt(60)];
        random.nextBytes(v);
        return v;
    }
}
