package brookpath.coordination.group;

import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * For how long a replica has held its records, as a checkpoint stores it, so that records which are replayed after a
 * restart do not count as new. Ages are differences of the steady clock: the time between the checkpoint and the
 * restart is not part of them, so a record may seem younger than it is, and never older.
 */
final class RecordAges {
    /** Ages are stored for runs of records that were learned within this time, in milliseconds. */
    private static final long RUN_MS = 1_000;

    /** Consecutive records up to an index, all of which were held for this time at least. */
    private record Run(long lastIndex, long ageMs) {}

    private final List<Run> runs = new ArrayList<>();

    private RecordAges() {}

    /** The ages of the records at this time of the steady clock. */
    static RecordAges of(final List<LogRecord> records, final long now) {
        final RecordAges ages = new RecordAges();
        LogRecord first = null;
        LogRecord last = null;
        for (final LogRecord logRecord : records) {
            if (first != null && logRecord.learnedAt() - first.learnedAt() >= RUN_MS) {
                ages.runs.add(new Run(last.index(), now - last.learnedAt()));
                first = null;
            }
            first = first == null ? logRecord : first;
            last = logRecord;
        }
        if (last != null) {
            ages.runs.add(new Run(last.index(), now - last.learnedAt()));
        }
        return ages;
    }

    /** Reads what {@link #save} wrote. */
    static RecordAges load(final PackedBuffer in) {
        final RecordAges ages = new RecordAges();
        for (long left = in.getLong(); left > 0; left--) {
            final long lastIndex = in.getLong();
            ages.runs.add(new Run(lastIndex, in.getLong()));
        }
        return ages;
    }

    void save(final PackedBuffer buffer) {
        buffer.putLong(runs.size());
        runs.forEach(run -> buffer.putLong(run.lastIndex).putLong(run.ageMs));
    }

    /** Whether all records are new. */
    boolean isEmpty() {
        return runs.stream().allMatch(run -> run.ageMs <= 0);
    }

    /** Replaces the records, which are in the order of their indexes, by equal ones that have these ages. */
    void restore(final List<LogRecord> records, final long now) {
        int position = 0;
        for (final Run run : runs) {
            while (position < records.size() && records.get(position).index() <= run.lastIndex) {
                records.set(position, records.get(position).learnedAt(now - run.ageMs));
                position++;
            }
        }
    }
}
