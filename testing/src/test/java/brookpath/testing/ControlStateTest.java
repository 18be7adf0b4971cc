package brookpath.testing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import brookpath.coordination.controllog.ChangeOutcomes.Outcome;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.Response;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Outcomes of changes and retirements in the control state, as applied from records and as loaded from a saved state.
 */
public final class ControlStateTest {
    private static final int MAX_OUTCOMES = 4_096;
    private static final int REFUSAL_RECORD = 2;

    private final NodeInfo leaving = new NodeInfo(11, "a", "sim:11", "storage-11");
    private final NodeInfo staying = new NodeInfo(12, "b", "sim:12", "storage-12");

    private static LogRecord record(final long index, final byte[] body) {
        return LogRecord.of(index, 1, 0, LogRecord.CONTROL, body, 0);
    }

    private static byte[] change(final String changeId, final long version) {
        final String document =
                "{\"basedOn\":" + (version - 1) + ",\"changeId\":\"" + changeId + "\",\"spaces\":[],\"tenants\":[]}";
        return ControlState.configurationBody(changeId, 77, version, document.getBytes(UTF_8));
    }

    private static byte[] metadata(final long version, final List<NodeInfo> nodes, final List<Integer> retiring) {
        return ControlState.metadataBody(
                new ClusterMetadata(version, nodes, List.of(), retiring, List.of(), Membership.NONE));
    }

    private static ControlState reloaded(final ControlState state) {
        final ControlState other = new ControlState();
        other.load(state.save());
        return other;
    }

    @Test
    public void onlyTheOutcomesOfTheNewestChangesAreKept() {
        final ControlState state = new ControlState();
        for (int i = 1; i <= MAX_OUTCOMES + 1; i++) {
            state.apply(record(i, change("change-" + i, i)));
        }
        for (final ControlState s : List.of(state, reloaded(state))) {
            assertNull(s.outcomes().of("change-1"));
            assertEquals(s.outcomes().of("change-2"), new Outcome(2, 77, 2));
            assertEquals(s.outcomes().of("change-4097"), new Outcome(4_097, 77, 4_097));
        }
    }

    @Test
    public void refusalRecordOfAnEarlierReleaseIsIgnored() {
        final ControlState state = new ControlState();
        state.apply(record(1, change("taken", 1)));
        state.apply(record(
                2,
                PackedBuffer.writer()
                        .putLong(REFUSAL_RECORD)
                        .putString("refused")
                        .putLong(78)
                        .putLong(422)
                        .putLong(1)
                        .putString("[]")
                        .toByteArray()));
        assertNull(state.outcomes().of("refused"));
        assertNotNull(state.outcomes().of("taken"));
    }

    @Test
    public void savedStateOfAnEarlierReleaseIsLoaded() {
        final PackedBuffer buffer = PackedBuffer.writer().putLong(0);
        final ClusterMetadata metadata = new ClusterMetadata(
                3, List.of(leaving, staying), List.of(), List.of(leaving.node()), List.of(), Membership.NONE);
        buffer.putLong(1).putLong(5).putBytes(metadata.save());
        buffer.putLong(0).putLong(0).putLong(0);
        buffer.putLong(2);
        buffer.putLong(3)
                .putString("refused")
                .putLong(78)
                .putLong(409)
                .putLong(1)
                .putString("");
        buffer.putLong(4).putString("taken").putLong(77).putLong(200).putLong(2).putString("");
        final ControlState state = new ControlState();
        state.load(buffer.toByteArray());
        assertNull(state.outcomes().of("refused"));
        assertEquals(state.outcomes().of("taken"), new Outcome(4, 77, 2));
        assertNotNull(state.retirements().byName("storage-11", 5));
    }

    @Test
    public void retirementIsKeptUntilItIsCancelledOrItsNameIsReused() {
        final ControlState state = new ControlState();
        state.apply(record(1, metadata(1, List.of(leaving, staying), List.of())));
        state.apply(record(2, metadata(2, List.of(leaving, staying), List.of(11))));
        state.apply(record(3, metadata(3, List.of(staying), List.of())));
        for (final ControlState s : List.of(state, reloaded(state))) {
            assertNull(s.retirements().byName("storage-11", 1));
            assertNotNull(s.retirements().byName("storage-11", 2));
            assertNotNull(s.retirements().byNumber(11, 3));
            assertNull(s.retirements().byName("storage-12", 3));
        }
        // Addresses are reused, and so are the node numbers that are derived from them
        final NodeInfo other = new NodeInfo(11, "a", "sim:11", "storage-21");
        state.apply(record(4, metadata(4, List.of(staying, other), List.of())));
        assertNotNull(state.retirements().byName("storage-11", 4));
        assertNull(state.retirements().byName("storage-21", 4));
        final NodeInfo again = new NodeInfo(19, "a", "sim:19", "storage-11");
        state.apply(record(5, metadata(5, List.of(staying, again), List.of())));
        assertNull(state.retirements().byName("storage-11", 5));
    }

    @Test
    public void expiredResponseIsReplaced() {
        final Response expired = new Response(503, 500, "{}");
        final Response unexpired = new Response(200, 0, "{\"version\":1}").until(1_000, expired);
        assertEquals(unexpired.at(999).status(), 200);
        assertEquals(unexpired.at(1_000), expired);
        assertEquals(expired.at(Long.MAX_VALUE), expired);
    }
}
