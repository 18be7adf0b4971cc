package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.state.disk.FolderDisk;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.wal.WriteAheadLog;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Snapshots that are larger than the largest entry. */
public final class LargeSnapshotTest {
    private static final int FIELD_BYTES = 1 << 20;
    private static final int FIELDS = WriteAheadLog.MAX_ENTRY_BYTES / FIELD_BYTES + 1;

    private static byte[] field(final int number) {
        final byte[] field = new byte[FIELD_BYTES];
        Arrays.fill(field, (byte) number);
        return field;
    }

    private static ChunkedBuffer snapshot() {
        final ChunkedBuffer snapshot = new ChunkedBuffer();
        for (int i = 0; i < FIELDS; i++) {
            snapshot.putBytes(field(i));
        }
        return snapshot;
    }

    private static void assertHoldsSnapshot(final WriteAheadLog.Recovery recovery) {
        assertFalse(recovery.damaged(), recovery.findings().toString());
        int fields = 0;
        for (final byte[] field : recovery.allEntries()) {
            assertTrue(Arrays.equals(field, field(fields)), "field " + fields);
            fields++;
        }
        assertEquals(fields, FIELDS);
    }

    private static void delete(final Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (final Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    /** Guards against a node that takes its own large snapshot for damaged, and gives up its folder (review/4). */
    @Test
    public void aSnapshotAboveTheEntryLimitIsReadBack() throws IOException {
        final Path folder = Files.createTempDirectory("large-snapshot");
        try (FolderDisk disk = new FolderDisk(folder)) {
            final WriteAheadLog log = WriteAheadLog.recover(disk).writeAheadLog();
            log.roll(snapshot());
            assertTrue(log.isIntact(), "the scrub takes the snapshot for damaged");
            assertHoldsSnapshot(WriteAheadLog.recover(disk));
        } finally {
            delete(folder);
        }
    }
}
