package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.state.record.ChunkedBuffer;
import brookpath.state.wal.WriteAheadLog;
import brookpath.state.wal.WriteAheadLog.Recovery;
import brookpath.testing.disk.FaultyDisk;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Compares the write-ahead log with a list of the entries written to it and the number of synced ones. */
public final class WriteAheadLogTest {
    /** A log on a faulty disk, with the list of the entries written to it and how many of them were synced. */
    private static final class CheckedLog {
        final long seed;
        final SplittableRandom random;
        final FaultyDisk disk = new FaultyDisk();
        WriteAheadLog log = WriteAheadLog.recover(disk).writeAheadLog();
        List<byte[]> written = new ArrayList<>();
        byte[] snapshot;
        int synced;
        /** How many unsynced entries were lost in power losses. */
        int lost;

        CheckedLog(final long seed) {
            this.seed = seed;
            random = new SplittableRandom(seed);
        }

        void step() {
            switch (random.nextInt(12)) {
                case 0 -> sync();
                case 1 -> {
                    if (random.nextInt(4) == 0) {
                        roll();
                    }
                }
                case 2 -> {
                    if (random.nextInt(6) == 0) {
                        losePower();
                    }
                }
                default -> append();
            }
        }

        private void sync() {
            log.sync();
            synced = written.size();
        }

        private void roll() {
            snapshot = bytes(random);
            log.roll(ChunkedBuffer.of(snapshot));
            written = new ArrayList<>();
            synced = 0;
        }

        private void append() {
            final byte[] entry = bytes(random);
            log.append(entry);
            written.add(entry);
        }

        private void losePower() {
            disk.powerLoss(random);
            final Recovery recovery = WriteAheadLog.recover(disk);
            final List<byte[]> entries = recovery.entries();
            assertFalse(recovery.damaged(), "seed " + seed + ": " + recovery.findings());
            assertTrue(
                    snapshot == null ? recovery.snapshot() == null : Arrays.equals(snapshot, recovery.snapshot()),
                    "seed " + seed);
            assertTrue(entries.size() >= synced && entries.size() <= written.size(), "seed " + seed);
            for (int e = 0; e < entries.size(); e++) {
                assertEquals(entries.get(e), written.get(e), "seed " + seed + " entry " + e);
            }
            lost += written.size() - entries.size();
            written = new ArrayList<>(entries);
            synced = written.size();
            log = recovery.writeAheadLog();
        }
    }

    @Test
    public void syncedEntriesSurvivePowerLoss() {
        int lost = 0;
        for (long seed = 0; seed < 300; seed++) {
            final CheckedLog checked = new CheckedLog(seed);
            for (int i = 0; i < 200; i++) {
                checked.step();
            }
            lost += checked.lost;
        }
        assertTrue(lost > 100, "power losses removed only " + lost + " entries");
    }

    @Test
    public void damageWithinTheLogIsNeverTakenForATornTail() {
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
            final Recovery recovery = WriteAheadLog.recover(disk);
            damaged += recovery.damaged() ? 1 : 0;
            assertTrue(
                    recovery.damaged()
                            || (recovery.entries().size() < n
                                    && !recovery.findings().isEmpty()),
                    "seed " + seed + ": the damage was not reported");
        }
        assertTrue(damaged > 200, "only " + damaged + " damaged folders were detected");
    }

    private static byte[] bytes(final SplittableRandom random) {
        final byte[] v = new byte[1 + random.nextInt(60)];
        random.nextBytes(v);
        return v;
    }
}
