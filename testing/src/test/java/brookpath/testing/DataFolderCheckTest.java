package brookpath.testing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.state.disk.FolderDisk;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import brookpath.state.wal.WriteAheadLog;
import brookpath.tools.datafolder.DataFolderCheck;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Checks data folders written by the production code: intact, with a torn tail, damaged and diverging. */
public final class DataFolderCheckTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int check(final Path... folders) {
        out.reset();
        return DataFolderCheck.run(
                java.util.Arrays.stream(folders).map(Path::toString).toArray(String[]::new),
                new PrintStream(out),
                new PrintStream(out));
    }

    /** Writes a data folder with the records of one topic group, with these terms and texts. */
    private static Path writeReplica(final long[] terms, final String[] texts) throws Exception {
        final Path folder = Files.createTempDirectory("data-folder-replica");
        try (FolderDisk disk = new FolderDisk(folder)) {
            final WriteAheadLog writeAheadLog = WriteAheadLog.recover(disk).writeAheadLog();
            for (int i = 0; i < terms.length; i++) {
                final LogRecord logRecord = LogRecord.of(
                        i + 1,
                        terms[i],
                        1_000,
                        LogRecord.PUBLISH,
                        LogRecord.publishBody(i + 1, 2, "t", "s/a", "ana", texts[i]),
                        0);
                writeAheadLog.append(PackedBuffer.writer()
                        .putLong(3)
                        .putLong(1)
                        .putBytes(logRecord.bytes())
                        .toByteArray());
            }
            writeAheadLog.sync();
        }
        return folder;
    }

    @Test
    public void agreeingDivergingAndContradictingReplicasAreDistinguished() throws Exception {
        final Path replica = writeReplica(new long[] {1, 1, 1}, new String[] {"x", "y", "z"});
        final Path shorter = writeReplica(new long[] {1, 1}, new String[] {"x", "y"});
        final Path diverging = writeReplica(new long[] {1, 1, 2}, new String[] {"x", "y", "w"});
        final Path contradicting = writeReplica(new long[] {1, 1, 1}, new String[] {"x", "Y", "z"});
        assertEquals(check(replica, shorter), 0, out.toString(UTF_8));
        assertTrue(out.toString(UTF_8).contains("agree on 2 records, ends 3 and 2"), out.toString(UTF_8));
        assertEquals(check(replica, diverging), 0, out.toString(UTF_8));
        assertTrue(out.toString(UTF_8).contains("diverge at record 3, epochs 1 and 2"), out.toString(UTF_8));
        assertEquals(check(replica, contradicting, shorter), 1);
        assertTrue(out.toString(UTF_8).contains("differ at or before record 2"), out.toString(UTF_8));
        assertEquals(check(replica, replica.resolve("none"), shorter), 1);
        assertTrue(
                out.toString(UTF_8).contains("no such folder")
                        && out.toString(UTF_8).contains("agree on 2"),
                out.toString(UTF_8));
        assertEquals(
                DataFolderCheck.run(
                        new String[] {"--all", replica.toString()}, new PrintStream(out), new PrintStream(out)),
                2);
    }

    @Test
    public void intactTornAndDamagedFoldersAreDistinguished() throws Exception {
        final Path folder = Files.createTempDirectory("data-folder-check");
        try (FolderDisk disk = new FolderDisk(folder)) {
            final WriteAheadLog writeAheadLog = WriteAheadLog.recover(disk).writeAheadLog();
            final ControllerNode node = new ControllerNode(
                    1,
                    List.of(new Member(1, 50, "")),
                    new GroupBootstrap(2, 1, 1, 0),
                    TimingBounds.DEFAULT,
                    1,
                    1,
                    1 << 20);
            long written = execute(writeAheadLog, node.start(true, new Time(0, 0)));
            for (long now = 100; now < 3_000; now += 100) {
                written = Math.max(
                        written,
                        execute(
                                writeAheadLog,
                                node.tick(new Time(now, now), brookpath.coordination.heartbeat.HeartbeatTable.EMPTY)));
                written = Math.max(written, execute(writeAheadLog, node.synced(written, new Time(now, now))));
            }
            writeAheadLog.sync();
        }
        assertEquals(check(folder), 0, out.toString(UTF_8));
        assertTrue(out.toString(UTF_8).contains("group 1000000: epoch 1, records 1 to 3"), out.toString(UTF_8));
        final Path seg = folder.resolve("seg-0");
        final byte[] intact = Files.readAllBytes(seg);
        Files.write(seg, java.util.Arrays.copyOf(intact, intact.length - 5));
        assertEquals(check(folder), 1);
        assertTrue(out.toString(UTF_8).contains("torn tail"), out.toString(UTF_8));
        final byte[] damaged = intact.clone();
        damaged[12] ^= 1;
        Files.write(seg, damaged);
        assertEquals(check(folder), 1);
        assertTrue(out.toString(UTF_8).contains("seg-0: bad checksum at byte 0"), out.toString(UTF_8));
        assertEquals(Files.readAllBytes(seg), damaged, "the folder was changed");
        assertEquals(check(folder.resolve("none")), 1);
        assertEquals(DataFolderCheck.run(new String[0], new PrintStream(out), new PrintStream(out)), 2);
    }

    private static long execute(final WriteAheadLog writeAheadLog, final List<Action> actions) {
        long lastWrite = 0;
        for (final Action a : actions) {
            if (a instanceof Action.Write w) {
                writeAheadLog.append(w.entry());
                lastWrite = w.number();
            }
        }
        return lastWrite;
    }
}
