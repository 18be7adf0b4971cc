package brookpath.coordination.group;

import brookpath.coordination.action.Actions;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * One member's replica of a group's log: the records after a base, the state that they result in, and how far they are
 * synced and committed. Indexes are consecutive and begin at 1; the base replaces all records that were trimmed.
 *
 * <p>Invariants: {@code baseIndex <= committedIndex}; a record that is committed is never truncated; equal digests at
 * an index mean equal logs up to there. Not thread-safe: the group's state thread owns it.
 */
final class RaftLog {
    /** A leader with more unsynced bytes than this on its own disk accepts no further records. */
    private static final int MAX_UNSYNCED_BYTES = 1 << 20;

    /** The log is trimmed in steps of this many records or bytes, so that the list is not shifted for each record. */
    private static final int TRIM_RECORDS = 64;

    private static final int TRIM_BYTES = 64 << 10;

    /** The objects and references that a record takes in memory beside its encoded bytes. */
    private static final int RECORD_OVERHEAD_BYTES = 160;

    private static final long DIGEST_FACTOR = 0x9E3779B97F4A7C15L;

    /** A part of the log that is not synced yet. */
    private record Unsynced(long write, long index, long bytes, long since) {}

    private final int group;
    private final Supplier<LogState> states;
    private final Runnable membershipChanged;
    private final Actions out;

    private long baseIndex;
    private long baseTerm;
    private long baseDigest;
    /** The newest membership in the trimmed records, null for none. */
    private Membership baseMembership;

    private LogState base;
    private LogState live;
    private final ArrayList<LogRecord> records = new ArrayList<>();
    /** Per record, a digest of the complete log up to it: equal digests in two replicas mean equal logs up to there. */
    private final ArrayList<Long> digests = new ArrayList<>();

    private long bytes;
    private long syncedIndex;
    private long committedIndex;
    private final ArrayDeque<Unsynced> unsynced = new ArrayDeque<>();
    private long unsyncedBytes;

    /**
     * @param states creates the state of an empty log
     * @param membershipChanged run after each change of the log that may change its newest membership
     */
    RaftLog(final int group, final Supplier<LogState> states, final Runnable membershipChanged, final Actions out) {
        this.group = group;
        this.states = states;
        this.membershipChanged = membershipChanged;
        this.out = out;
        base = states.get();
        live = states.get();
    }

    /** The index of the last trimmed record, 0 where nothing was trimmed. */
    long baseIndex() {
        return baseIndex;
    }

    /** The index of the last record. */
    long endIndex() {
        return baseIndex + records.size();
    }

    /** The highest index that this member's own disk has synced. */
    long syncedIndex() {
        return syncedIndex;
    }

    /** The highest index that is known to be committed. */
    long committedIndex() {
        return committedIndex;
    }

    /** About how much memory the records after the base take, in bytes. */
    long memoryBytes() {
        return bytes + (long) RECORD_OVERHEAD_BYTES * records.size();
    }

    /** How many records follow the base. */
    int size() {
        return records.size();
    }

    /** The state after the last record. */
    LogState live() {
        return live;
    }

    /** The state at the base. */
    LogState base() {
        return base;
    }

    /** The record at an index after the base. */
    LogRecord logRecord(final long index) {
        return records.get((int) (index - baseIndex - 1));
    }

    /** The term of the record at the index; -1 where this log does not hold it. */
    long termAt(final long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return index < baseIndex || index > endIndex() ? -1 : logRecord(index).term();
    }

    /** The term of the last record. */
    long endTerm() {
        return termAt(endIndex());
    }

    /** The term of the last record that is synced. */
    long syncedTerm() {
        return termAt(syncedIndex);
    }

    /** A digest of the complete log up to the index; -1 where this log does not hold it. */
    long digestAt(final long index) {
        if (index == baseIndex) {
            return baseDigest;
        }
        return index < baseIndex || index > endIndex() ? -1 : digests.get((int) (index - baseIndex - 1));
    }

    /** The wall-clock time stamp of the last record in milliseconds, 0 where the log holds none. */
    long lastStamp() {
        return records.isEmpty() ? 0 : records.get(records.size() - 1).timestamp();
    }

    /** Whether a log that ends there is newer than another: by its last term, then by its length. */
    static boolean newer(final long termA, final long indexA, final long termB, final long indexB) {
        return termA > termB || (termA == termB && indexA > indexB);
    }

    // ---- appending and syncing

    /** Appends a record and writes it to disk. */
    void append(final LogRecord logRecord) {
        replay(logRecord);
        final long write = out.write(
                GroupEntryKind.RECORD.entry(group).putBytes(logRecord.bytes()).toByteArray());
        addUnsynced(write, logRecord.index(), logRecord.bytes().length, logRecord.learnedAt());
    }

    /**
     * Appends a record that is on disk already.
     *
     * @throws IllegalStateException where it does not follow the last one
     */
    void replay(final LogRecord logRecord) {
        if (logRecord.index() != endIndex() + 1) {
            throw new IllegalStateException(
                    "group " + group + ": record " + logRecord.index() + " does not follow " + endIndex());
        }
        digests.add(digest(digests.isEmpty() ? baseDigest : digests.get(digests.size() - 1), logRecord));
        records.add(logRecord);
        bytes += logRecord.bytes().length;
        live.apply(logRecord);
        if (logRecord.kind() == LogRecord.MEMBERS) {
            membershipChanged.run();
        }
    }

    private static long digest(final long before, final LogRecord logRecord) {
        final long mixed = (before ^ logRecord.storedChecksum() ^ logRecord.index() << 32) * DIGEST_FACTOR;
        return mixed ^ mixed >>> 31;
    }

    private void addUnsynced(final long write, final long index, final long size, final long now) {
        unsynced.add(new Unsynced(write, index, size, now));
        unsyncedBytes += size;
    }

    /** Notes that all writes up to this number are synced. */
    void synced(final long write) {
        while (!unsynced.isEmpty() && unsynced.peek().write <= write) {
            final Unsynced done = unsynced.poll();
            syncedIndex = Math.max(syncedIndex, done.index);
            unsyncedBytes -= done.bytes;
        }
    }

    /** Marks all that was replayed as synced, since it was read from disk. */
    void recovered() {
        syncedIndex = endIndex();
    }

    /** Whether any write of this log is not synced yet. */
    boolean hasUnsynced() {
        return !unsynced.isEmpty();
    }

    /** How long the oldest unsynced write of this log has been pending, in milliseconds; 0 for none. */
    long syncLag(final long now) {
        return unsynced.isEmpty() ? 0 : now - unsynced.peek().since;
    }

    /** Whether so many bytes are not yet synced to this member's own disk that nothing more may be appended. */
    boolean syncBacklogged() {
        return unsyncedBytes > MAX_UNSYNCED_BYTES;
    }

    /** Raises the committed index; a lower one than before changes nothing. */
    void commit(final long index) {
        if (index > committedIndex) {
            committedIndex = index;
            live.committed(index);
        }
    }

    // ---- truncating and trimming

    /** Drops all records after the index, and writes the truncation to disk. */
    void truncate(final long index) {
        replayTruncate(index);
        out.write(GroupEntryKind.TRUNCATE.entry(group).putLong(index).toByteArray());
    }

    /** Drops all records after the index, by a truncation that is on disk already. */
    void replayTruncate(final long index) {
        records.subList((int) (index - baseIndex), records.size()).clear();
        digests.subList((int) (index - baseIndex), digests.size()).clear();
        live = states.get();
        live.load(base.save());
        records.forEach(live::apply);
        live.committed(committedIndex);
        bytes = records.stream().mapToLong(r -> r.bytes().length).sum();
        membershipChanged.run();
        syncedIndex = Math.min(syncedIndex, index);
        unsynced.removeIf(part -> part.index > index);
        unsyncedBytes = unsynced.stream().mapToLong(Unsynced::bytes).sum();
    }

    /**
     * Moves the base over the records that this state, or that of another member, no longer keeps, where there are
     * enough of them.
     *
     * @param limit records after this index are kept, as are all that are not both synced and committed
     * @param trimmedElsewhere the index up to which another member has trimmed its replica of this log, 0 for none
     */
    void trim(final long limit, final long trimmedElsewhere, final long now) {
        final long last = Math.min(limit, Math.min(committedIndex, syncedIndex));
        final long oldEnough = live.keepsByAge() ? trimmedElsewhere : 0;
        int count = 0;
        long trimmedBytes = 0;
        while (count < records.size() && records.get(count).index() <= last) {
            final LogRecord logRecord = records.get(count);
            final long withThis = trimmedBytes + logRecord.bytes().length;
            if (logRecord.index() > oldEnough
                    && live.keeps(logRecord, now, records.size() - count - 1, bytes - withThis)) {
                break;
            }
            trimmedBytes = withThis;
            count++;
        }
        if (count < TRIM_RECORDS && trimmedBytes < TRIM_BYTES) {
            return;
        }
        for (final LogRecord logRecord : records.subList(0, count)) {
            moveBaseTo(logRecord);
        }
        base.committed(baseIndex);
        bytes -= trimmedBytes;
        records.subList(0, count).clear();
        baseDigest = digests.get(count - 1);
        digests.subList(0, count).clear();
    }

    private void moveBaseTo(final LogRecord logRecord) {
        base.apply(logRecord);
        base.trimmed(logRecord);
        live.trimmed(logRecord);
        if (logRecord.kind() == LogRecord.MEMBERS) {
            baseMembership = Membership.load(PackedBuffer.reader(logRecord.body()));
        }
        baseIndex = logRecord.index();
        baseTerm = logRecord.term();
    }

    // ---- membership records

    /** The newest membership record after the base, null for none. */
    LogRecord newestMembershipRecord() {
        for (int i = records.size() - 1; i >= 0; i--) {
            if (records.get(i).kind() == LogRecord.MEMBERS) {
                return records.get(i);
            }
        }
        return null;
    }

    /** The newest membership in the trimmed records, null for none. */
    Membership baseMembership() {
        return baseMembership;
    }

    // ---- snapshots

    /** The complete log: the state at the base, and the records after it. */
    LogSnapshot snapshot() {
        return new LogSnapshot(baseIndex, baseTerm, baseDigest, base.save(), List.copyOf(records), baseMembership);
    }

    /** For how long the records have been held, where the state keeps them by age; else without contents. */
    RecordAges ages(final long now) {
        return RecordAges.of(live.keepsByAge() ? records : List.of(), now);
    }

    /** Restores for how long the records had been held before the process started. */
    void replayAges(final RecordAges ages, final long now) {
        ages.restore(records, now);
    }

    /** Replaces the complete log by a snapshot and writes that to disk; only its base counts as synced until then. */
    void install(final LogSnapshot snapshot, final long now) {
        replaySnapshot(snapshot, now);
        syncedIndex = baseIndex;
        unsynced.clear();
        unsyncedBytes = 0;
        final List<ChunkedBuffer> entries = snapshot.entries(group);
        final long write = entries.size() == 1 ? out.write(entries.get(0).toByteArray()) : out.writeAll(entries);
        addUnsynced(write, endIndex(), bytes, now);
    }

    /** Replaces the complete log by a snapshot that is on disk already. */
    void replaySnapshot(final LogSnapshot snapshot, final long now) {
        records.clear();
        digests.clear();
        bytes = 0;
        baseIndex = snapshot.baseIndex();
        baseTerm = snapshot.baseTerm();
        baseDigest = snapshot.baseDigest();
        base = states.get();
        base.load(snapshot.baseState());
        live = states.get();
        live.load(snapshot.baseState());
        snapshot.records().forEach(logRecord -> replay(logRecord.learnedAt(now)));
        baseMembership = snapshot.baseMembership();
        membershipChanged.run();
        commit(baseIndex);
        base.committed(baseIndex);
        live.committed(committedIndex);
    }
}
