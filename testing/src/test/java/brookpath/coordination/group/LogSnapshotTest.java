package brookpath.coordination.group;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.message.PeerMessage.PullReply;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import brookpath.state.wal.WriteAheadLog;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Complete logs of a group on disk and in full syncs, at and around the limit of one entry and far above it. */
public final class LogSnapshotTest {
    private static final int GROUP = 3;
    private static final int RECORD_BODY_BYTES = 16 << 10;
    /** What an entry may hold beside its records: the base, whose state is small here, and the fields' lengths. */
    private static final int ENTRY_OVERHEAD_BYTES = 64 << 10;

    private static final Membership MEMBERSHIP = new Membership(2, List.of(new Member(1, 50, "a")), List.of());

    private static LogSnapshot snapshot(final int records, final int lastBodyBytes) {
        final List<LogRecord> list = new ArrayList<>();
        for (int i = 1; i <= records; i++) {
            final byte[] body = new byte[i < records ? RECORD_BODY_BYTES : lastBodyBytes];
            Arrays.fill(body, (byte) i);
            list.add(LogRecord.of(100 + i, 2, 1_000, LogRecord.CONTROL, body, 0));
        }
        return new LogSnapshot(100, 2, 77, new CountingState(0).save(), list, MEMBERSHIP);
    }

    private static GroupMachine member(final Actions out) {
        return new GroupMachine(
                GROUP,
                1,
                TimingBounds.DEFAULT,
                1,
                1,
                () -> new CountingState(Integer.MAX_VALUE),
                new HeartbeatPromises(0),
                out);
    }

    private static void replay(final GroupMachine member, final byte[] entry) {
        member.replay(PackedBuffer.reader(entry).skipBytes(Long.BYTES), 0);
    }

    private static List<byte[]> entries(final LogSnapshot snapshot) {
        return snapshot.entries(GROUP).stream().map(ChunkedBuffer::toByteArray).toList();
    }

    private static byte[] recordEntry(final long index) {
        final LogRecord logRecord = LogRecord.of(index, 1, 1_000, LogRecord.CONTROL, new byte[10], 0);
        return GroupEntryKind.RECORD.entry(GROUP).putBytes(logRecord.bytes()).toByteArray();
    }

    private static void assertHolds(final GroupMachine member, final LogSnapshot expected) {
        assertEquals(member.baseIndex(), expected.baseIndex());
        assertEquals(
                member.endIndex(), expected.baseIndex() + expected.records().size());
        assertEquals(member.syncedIndex(), member.endIndex());
        for (final LogRecord logRecord : expected.records()) {
            assertTrue(Arrays.equals(member.logRecord(logRecord.index()).bytes(), logRecord.bytes()));
        }
    }

    /** Guards against a replica whose log outgrows what its own next start reads (review/4, in one group). */
    @Test
    public void anEntryOfALogAboveTheLimitOfOneEntryHasABoundedSize() {
        final LogSnapshot snapshot = snapshot(WriteAheadLog.MAX_ENTRY_BYTES / RECORD_BODY_BYTES + 10, 1);
        final GroupMachine member = member(new Actions());
        for (final byte[] entry : entries(snapshot)) {
            assertTrue(
                    entry.length <= LogSnapshot.MAX_WHOLE_ENTRY_BYTES + ENTRY_OVERHEAD_BYTES,
                    "entry of " + entry.length + " bytes");
            replay(member, entry);
        }
        assertHolds(member, snapshot);
    }

    @Test
    public void logsOneByteBelowAtAndAboveTheLimitOfAWholeEntryAreRestored() {
        final int records = 60;
        final long otherBytes = snapshot(records, 0).encode().sizeBytes();
        for (int difference = -1; difference <= 1; difference++) {
            final int lastBody = (int) (LogSnapshot.MAX_WHOLE_ENTRY_BYTES - otherBytes) + difference;
            final LogSnapshot snapshot = snapshot(records, lastBody);
            assertEquals(snapshot.encode().sizeBytes(), LogSnapshot.MAX_WHOLE_ENTRY_BYTES + difference);
            final List<byte[]> entries = entries(snapshot);
            assertEquals(entries.size() == 1, difference <= 0);
            final GroupMachine member = member(new Actions());
            entries.forEach(entry -> replay(member, entry));
            assertHolds(member, snapshot);
        }
    }

    /**
     * After a crash within an installed snapshot the replica has its former log, whole; after the last entry the new.
     */
    @Test
    public void aSnapshotCutOffAfterAnyOfItsEntriesLeavesTheFormerLog() {
        final LogSnapshot snapshot = snapshot(300, 1);
        final List<byte[]> entries = entries(snapshot);
        assertTrue(entries.size() > 10, entries.size() + " entries");
        for (int cut = 0; cut < entries.size(); cut++) {
            final GroupMachine member = member(new Actions());
            replay(member, recordEntry(1));
            replay(member, recordEntry(2));
            entries.subList(0, cut).forEach(entry -> replay(member, entry));
            assertEquals(member.baseIndex(), 0, "cut after " + cut);
            assertEquals(member.endIndex(), 2, "cut after " + cut);
            replay(member, recordEntry(3));
            assertEquals(member.endIndex(), 3, "cut after " + cut);
            entries.forEach(entry -> replay(member, entry));
            assertHolds(member, snapshot);
        }
    }

    @Test
    public void aCheckpointOfALargeLogRestoresIt() {
        final LogSnapshot snapshot = snapshot(300, 1);
        final GroupMachine member = member(new Actions());
        entries(snapshot).forEach(entry -> replay(member, entry));
        final GroupMachine restored = member(new Actions());
        member.checkpoint(0).forEach(entry -> replay(restored, entry.toByteArray()));
        assertHolds(restored, snapshot);
        assertEquals(restored.digestAt(restored.endIndex()), member.digestAt(member.endIndex()));
        assertEquals(restored.term(), member.term());
    }

    /** An installed snapshot is written without a copy of it, and counts as synced once its last entry is. */
    @Test
    public void anInstalledLargeSnapshotIsOneWriteOfSeveralEntries() {
        final Actions out = new Actions();
        final RaftLog log = new RaftLog(GROUP, () -> new CountingState(Integer.MAX_VALUE), () -> {}, out);
        final LogSnapshot snapshot = snapshot(300, 1);
        log.install(snapshot, 0);
        final Action.WriteAll write = (Action.WriteAll) out.drain().get(0);
        assertEquals(write.entries().size(), snapshot.entries(GROUP).size());
        assertEquals(log.syncedIndex(), log.baseIndex());
        log.synced(write.number());
        assertEquals(log.syncedIndex(), log.endIndex());
    }

    private static PullReply part(final SnapshotSender.Part part) {
        return new PullReply(
                GROUP,
                1,
                1,
                PullReplyKind.SNAPSHOT.code(),
                0,
                0,
                0,
                0,
                0,
                part.bytes(),
                List.of(),
                part.sum(),
                part.total(),
                part.offset());
    }

    private static LogSnapshot transfer(final SnapshotSender sender, final SnapshotReceiver receiver) {
        LogSnapshot received = null;
        final long parts = sender.part(0, 0, 0).total() / SnapshotSender.PART_BYTES + 1;
        // One more for a transfer that begins with a part from its middle
        for (long i = 0; i <= parts && received == null; i++) {
            received = receiver.take(part(sender.part(receiver.sum(), receiver.offset(), 0)), 0);
        }
        return received;
    }

    /** Guards against a replica that is never rebuilt, since its full sync is larger than one entry may be. */
    @Test
    public void aFullSyncAboveTheLimitOfOneEntryIsReceived() {
        final LogSnapshot snapshot = snapshot(WriteAheadLog.MAX_ENTRY_BYTES / RECORD_BODY_BYTES + 10, 1);
        final SnapshotSender sender = new SnapshotSender(1_000);
        sender.keep(snapshot.encode(), 0, 0);
        final LogSnapshot received = transfer(sender, new SnapshotReceiver());
        assertNotNull(received, "the transfer was given up");
        assertEquals(received.encode().sizeBytes(), snapshot.encode().sizeBytes());
        assertTrue(Arrays.equals(
                received.records().get(4_000).bytes(),
                snapshot.records().get(4_000).bytes()));
        assertEquals(received.baseMembership(), MEMBERSHIP);
    }

    @Test
    public void partsCutAnywhereAreDecoded() throws Exception {
        for (long seed = 1; seed <= 50; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final LogSnapshot snapshot = snapshot(random.nextInt(4), random.nextInt(2_000));
            final byte[] encoded = snapshot.encode().toByteArray();
            final LogSnapshotDecoder decoder = new LogSnapshotDecoder(encoded.length, 0);
            int position = 0;
            while (position < encoded.length) {
                final int length = Math.min(encoded.length - position, 1 + random.nextInt(40));
                decoder.decode(Arrays.copyOfRange(encoded, position, position + length));
                position += length;
            }
            assertTrue(Arrays.equals(decoder.snapshot().encode().toByteArray(), encoded), "seed " + seed);
        }
    }

    @Test
    public void bytesThatAreNoSnapshotAreRejectedAndTheTransferStartsAnew() {
        for (long seed = 1; seed <= 200; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final byte[] encoded = snapshot(3, 500).encode().toByteArray();
            encoded[random.nextInt(200)] ^= (byte) (1 << random.nextInt(8));
            final SnapshotSender sender = new SnapshotSender(1_000);
            sender.keep(snapshot(3, 500).encode(), 0, 0);
            final SnapshotSender.Part valid = sender.part(0, 0, 0);
            final SnapshotReceiver receiver = new SnapshotReceiver();
            final PullReply first = part(new SnapshotSender.Part(
                    valid.sum(), valid.total(), 0, Arrays.copyOf(encoded, valid.bytes().length)));
            receiver.take(first, 0);
            LogSnapshot received = null;
            for (int i = 0; i < 10 && received == null && receiver.sum() != 0; i++) {
                received = receiver.take(part(sender.part(receiver.sum(), receiver.offset(), 0)), 0);
            }
            assertNull(received, "seed " + seed + ": a damaged snapshot was accepted");
            assertNotNull(transfer(sender, receiver), "seed " + seed);
        }
    }
}
