package brookpath.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.state.spool.Spool;
import brookpath.state.spool.Spool.Recovery;
import brookpath.trial.disk.TrialDisk;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** The spool against an oracle: a list of what was written, and how much of it was synced. */
public final class SpoolTest {
    @Test
    public void whatWasSyncedComesBackAfterPowerLoss() {
        int cut = 0;
        for (long seed = 0; seed < 300; seed++) {
            final SplittableRandom rnd = new SplittableRandom(seed);
            final TrialDisk disk = new TrialDisk();
            Spool spool = Spool.recover(disk).spool();
            List<byte[]> written = new ArrayList<>();
            byte[] snapshot = null;
            int synced = 0;
            for (int i = 0; i < 200; i++) {
                switch (rnd.nextInt(12)) {
                    case 0 -> {
                        spool.sync();
                        synced = written.size();
                    }
                    case 1 -> {
                        if (rnd.nextInt(4) == 0) {
                            snapshot = bytes(rnd);
                            spool.roll(snapshot);
                            written = new ArrayList<>();
                            synced = 0;
                        }
                    }
                    case 2 -> {
                        if (rnd.nextInt(6) == 0) {
                            disk.powerLoss(rnd);
                            final Recovery rec = Spool.recover(disk);
                            assertFalse(rec.damaged(), "seed " + seed + ": " + rec.findings());
                            assertTrue(
                                    snapshot == null ? rec.snapshot() == null : Arrays.equals(snapshot, rec.snapshot()),
                                    "seed " + seed);
                            assertTrue(
                                    rec.entries().size() >= synced
                                            && rec.entries().size() <= written.size(),
                                    "seed " + seed);
                            for (int e = 0; e < rec.entries().size(); e++) {
                                assertEquals(rec.entries().get(e), written.get(e), "seed " + seed + " entry " + e);
                            }
                            cut += written.size() - rec.entries().size();
                            written = new ArrayList<>(rec.entries());
                            synced = written.size();
                            spool = rec.spool();
                        }
                    }
                    default -> {
                        final byte[] entry = bytes(rnd);
                        spool.append(entry);
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
            final SplittableRandom rnd = new SplittableRandom(seed);
            final TrialDisk disk = new TrialDisk();
            final Spool spool = Spool.recover(disk).spool();
            final int n = 20 + rnd.nextInt(30);
            for (int i = 0; i < n; i++) {
                spool.append(bytes(rnd));
            }
            spool.sync();
            if (!disk.corrupt(rnd)) {
                continue;
            }
            final Recovery rec = Spool.recover(disk);
            damaged += rec.damaged() ? 1 : 0;
            assertTrue(
                    rec.damaged()
                            || (rec.entries().size() < n && !rec.findings().isEmpty()),
                    "seed " + seed + " took damage for whole");
        }
        assertTrue(damaged > 200, "only " + damaged + " damages were seen");
    }

    private static byte[] bytes(final SplittableRandom rnd) {
        final byte[] v = new byte[1 + rnd.nextInt(60)];
        rnd.nextBytes(v);
        return v;
    }
}
