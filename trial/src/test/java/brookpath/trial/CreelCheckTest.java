package brookpath.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Action;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.BailiffNode;
import brookpath.coordination.node.Node.Time;
import brookpath.state.disk.FolderDisk;
import brookpath.state.spool.Spool;
import brookpath.tools.creelcheck.CreelCheck;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** A folder written by the production code, whole, torn and damaged. */
public final class CreelCheckTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int check(final Path folder) {
        out.reset();
        return CreelCheck.run(new String[] {folder.toString()}, new PrintStream(out), new PrintStream(out));
    }

    @Test
    public void wholeTornAndDamagedFoldersAreToldApart() throws Exception {
        final Path folder = Files.createTempDirectory("creel-check");
        try (FolderDisk disk = new FolderDisk(folder)) {
            final Spool spool = Spool.recover(disk).spool();
            final BailiffNode node = new BailiffNode(1, List.of(new Member(1, 50, "")), new BailiffNode.Founding(2, 1, 1, 0), Tempo.DEFAULT, 1, 1, 1 << 20);
            long written = obey(spool, node.start(true, new Time(0, 0)));
            for (long now = 100; now < 3_000; now += 100) {
                written = Math.max(written, obey(spool, node.tick(new Time(now, now), brookpath.coordination.beat.BeatTable.EMPTY)));
                written = Math.max(written, obey(spool, node.synced(written, new Time(now, now))));
            }
            spool.sync();
        }
        assertEquals(check(folder), 0, out.toString());
        assertTrue(out.toString().contains("group 1000000: epoch 1, records 1 to 1"), out.toString());
        final Path seg = folder.resolve("seg-0");
        final byte[] whole = Files.readAllBytes(seg);
        Files.write(seg, java.util.Arrays.copyOf(whole, whole.length - 5));
        assertEquals(check(folder), 1);
        assertTrue(out.toString().contains("torn tail"), out.toString());
        final byte[] damaged = whole.clone();
        damaged[12] ^= 1;
        Files.write(seg, damaged);
        assertEquals(check(folder), 1);
        assertTrue(out.toString().contains("seg-0: bad checksum at byte 0"), out.toString());
        assertEquals(Files.readAllBytes(seg), damaged, "the folder was changed");
        assertEquals(check(folder.resolve("none")), 1);
        assertEquals(CreelCheck.run(new String[0], new PrintStream(out), new PrintStream(out)), 2);
    }

    private static long obey(final Spool spool, final List<Action> actions) {
        long n = 0;
        for (final Action a : actions) {
            if (a instanceof Action.Write w) {
                spool.append(w.entry());
                n = w.number();
            }
        }
        return n;
    }
}
