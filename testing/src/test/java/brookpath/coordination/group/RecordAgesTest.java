package brookpath.coordination.group;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** The ages of records survive a restart: none becomes older than it is, and few younger. */
public final class RecordAgesTest {
    private static final int RECORDS = 500;
    private static final long MAX_PAUSE_MS = 400;
    private static final long RUN_MS = 1_000;

    private static LogRecord logRecord(final long index, final long learnedAt) {
        return LogRecord.of(index, 1, 1_000, LogRecord.NO_OP, new byte[0], learnedAt);
    }

    private static RecordAges reloaded(final RecordAges ages) {
        final PackedBuffer saved = PackedBuffer.writer();
        ages.save(saved);
        return RecordAges.load(PackedBuffer.reader(saved.toByteArray()));
    }

    @Test
    public void noRecordIsRestoredOlderThanItWasNorMuchYounger() {
        for (long seed = 1; seed <= 20; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final List<LogRecord> records = new ArrayList<>();
            final List<LogRecord> replayed = new ArrayList<>();
            final long first = random.nextLong(1_000);
            final long restart = -random.nextLong(1_000_000);
            long learnedAt = random.nextLong(10_000);
            for (long index = first + 1; index <= first + RECORDS; index++) {
                learnedAt += random.nextLong(MAX_PAUSE_MS);
                records.add(logRecord(index, learnedAt));
                replayed.add(logRecord(index, restart));
            }
            final long checkpoint = learnedAt + random.nextLong(MAX_PAUSE_MS);
            reloaded(RecordAges.of(records, checkpoint)).restore(replayed, restart);
            for (int i = 0; i < RECORDS; i++) {
                final long before = checkpoint - records.get(i).learnedAt();
                final long after = restart - replayed.get(i).learnedAt();
                assertTrue(after <= before, "seed " + seed + ", record " + i + ": " + before + " before, now " + after);
                assertTrue(after > before - RUN_MS, "seed " + seed + ", record " + i + ": " + before + ", " + after);
                assertEquals(replayed.get(i).bytes(), records.get(i).bytes());
            }
        }
    }

    @Test
    public void recordsAfterTheCheckpointStayNew() {
        final List<LogRecord> records = new ArrayList<>(List.of(logRecord(1, 0), logRecord(2, 5_000)));
        final RecordAges ages = RecordAges.of(records, 6_000);
        final List<LogRecord> replayed =
                new ArrayList<>(List.of(logRecord(1, 100), logRecord(2, 100), logRecord(3, 100)));
        ages.restore(replayed, 100);
        assertEquals(replayed.stream().map(LogRecord::learnedAt).toList(), List.of(-5_900L, -900L, 100L));
        assertTrue(RecordAges.of(List.of(), 6_000).isEmpty());
    }
}
