package brookpath.coordination.group;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.action.Actions;
import brookpath.state.record.LogRecord;
import java.util.List;
import org.testng.annotations.Test;

/**
 * The contents of a member's log, how far it is synced and committed, and the effect of truncating, trimming and
 * snapshots.
 */
public final class RaftLogTest {
    private static final int GROUP = 4;
    private static final int KEPT_RECORDS = 10;

    private final Actions out = new Actions();
    private int membershipChanges;

    private RaftLog log() {
        membershipChanges = 0;
        return new RaftLog(GROUP, () -> new CountingState(KEPT_RECORDS), () -> membershipChanges++, out);
    }

    private static LogRecord logRecord(final long index, final long term) {
        return LogRecord.of(index, term, 1_000 + index, LogRecord.NO_OP, new byte[0], 0);
    }

    private static void append(final RaftLog log, final long term, final int count) {
        for (int i = 0; i < count; i++) {
            log.append(logRecord(log.endIndex() + 1, term));
        }
    }

    private void syncAll(final RaftLog log) {
        log.synced(out.writes());
    }

    private static long applied(final LogState state) {
        return ((CountingState) state).applied();
    }

    @Test
    public void theSyncedIndexFollowsTheSyncedWrites() {
        final RaftLog log = log();
        append(log, 1, 2);
        final long write = out.writes();
        append(log, 1, 1);
        assertEquals(log.syncedIndex(), 0);
        log.synced(write);
        assertEquals(log.syncedIndex(), 2);
        assertTrue(log.hasUnsynced());
        syncAll(log);
        assertEquals(log.syncedIndex(), 3);
        assertFalse(log.hasUnsynced());
    }

    @Test
    public void aRecordThatDoesNotFollowTheLastOneIsRejected() {
        final RaftLog log = log();
        append(log, 1, 1);
        assertThrows(IllegalStateException.class, () -> log.append(logRecord(3, 1)));
        assertThrows(IllegalStateException.class, () -> log.append(logRecord(1, 1)));
        assertEquals(log.endIndex(), 1);
    }

    @Test
    public void truncatingDropsTheRecordsAndTheirEffect() {
        final RaftLog log = log();
        append(log, 1, 3);
        syncAll(log);
        append(log, 2, 2);
        log.truncate(2);
        assertEquals(log.endIndex(), 2);
        assertEquals(log.syncedIndex(), 2);
        assertFalse(log.hasUnsynced(), "a write of a truncated record is still pending");
        assertEquals(applied(log.live()), 2);
        assertEquals(log.termAt(3), -1);
        append(log, 3, 1);
        assertEquals(log.endTerm(), 3);
    }

    @Test
    public void equalDigestsMeanEqualLogs() {
        final RaftLog one = log();
        append(one, 1, 3);
        final RaftLog same = log();
        append(same, 1, 3);
        final RaftLog other = log();
        append(other, 1, 1);
        append(other, 2, 2);
        assertEquals(one.digestAt(3), same.digestAt(3));
        assertEquals(one.digestAt(1), other.digestAt(1));
        assertNotEquals(one.digestAt(3), other.digestAt(3));
        assertEquals(one.digestAt(4), -1, "the log does not contain the index");
    }

    @Test
    public void trimmingKeepsUncommittedRecordsAndThoseThatTheStateKeeps() {
        final RaftLog log = log();
        append(log, 1, 200);
        syncAll(log);
        log.trim(Long.MAX_VALUE, 0, 0);
        assertEquals(log.baseIndex(), 0, "uncommitted records were trimmed");
        log.commit(150);
        log.trim(120, 0, 0);
        assertEquals(log.baseIndex(), 120, "not trimmed exactly up to the limit");
        log.commit(200);
        final long digest = log.digestAt(200);
        log.trim(Long.MAX_VALUE, 0, 0);
        assertEquals(log.baseIndex(), 200 - KEPT_RECORDS);
        assertEquals(log.size(), KEPT_RECORDS);
        assertEquals(applied(log.base()), 200 - KEPT_RECORDS);
        assertEquals(applied(log.live()), 200);
        assertEquals(log.digestAt(200), digest);
        assertEquals(log.termAt(log.baseIndex()), 1);
    }

    /** Guards against a restarted replica that keeps records which another member has kept long enough. */
    @Test
    public void committedRecordsThatAnotherMemberHasTrimmedAreTrimmedAlthoughTheStateKeepsThem() {
        final RaftLog log = new RaftLog(GROUP, () -> new CountingState(Integer.MAX_VALUE), () -> {}, out);
        append(log, 1, 200);
        syncAll(log);
        log.commit(170);
        log.trim(Long.MAX_VALUE, 0, 0);
        assertEquals(log.baseIndex(), 0);
        log.trim(Long.MAX_VALUE, 100, 0);
        assertEquals(log.baseIndex(), 100);
        log.trim(Long.MAX_VALUE, 200, 0);
        assertEquals(log.baseIndex(), 170, "uncommitted records were trimmed");
    }

    @Test
    public void anInstalledSnapshotCountsAsSyncedOnlyOnceItsWriteIs() {
        final RaftLog source = log();
        append(source, 1, 200);
        syncAll(source);
        source.commit(200);
        source.trim(Long.MAX_VALUE, 0, 0);
        final RaftLog target = log();
        append(target, 1, 3);
        target.install(source.snapshot(), 0);
        assertEquals(target.endIndex(), 200);
        assertEquals(target.digestAt(200), source.digestAt(200));
        assertEquals(target.syncedIndex(), source.baseIndex());
        assertEquals(target.committedIndex(), source.baseIndex());
        assertEquals(((CountingState) target.live()).committedIndex(), source.baseIndex());
        syncAll(target);
        assertEquals(target.syncedIndex(), 200);
    }

    @Test
    public void theNewestMembershipIsFoundInTheLogAndInTheTrimmedRecords() {
        final RaftLog log = log();
        final Membership membership = new Membership(2, List.of(new Member(1, 50, "a")), List.of());
        log.append(LogRecord.of(1, 1, 1_000, LogRecord.MEMBERS, membership.save(), 0));
        assertEquals(membershipChanges, 1);
        assertEquals(log.newestMembershipRecord().index(), 1);
        append(log, 1, 100);
        syncAll(log);
        log.commit(101);
        log.trim(Long.MAX_VALUE, 0, 0);
        assertEquals(log.newestMembershipRecord(), null);
        assertEquals(log.baseMembership(), membership);
        final RaftLog target = log();
        target.install(log.snapshot(), 0);
        assertEquals(target.baseMembership(), membership);
    }

    @Test
    public void theLastTermDecidesWhichLogIsNewerThenTheLength() {
        assertTrue(RaftLog.newer(2, 1, 1, 9));
        assertTrue(RaftLog.newer(2, 5, 2, 4));
        assertFalse(RaftLog.newer(2, 4, 2, 4));
        assertFalse(RaftLog.newer(1, 9, 2, 1));
    }
}
