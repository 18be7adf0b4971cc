package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;

import brookpath.coordination.topic.TopicState;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import org.testng.annotations.Test;

/** The state that a topic group derives from its log: usage windows and senders. */
public final class TopicStateTest {
    @Test
    public void recordStampedInAClosedWindowCountsInTheNextWindow() {
        final TopicState state = new TopicState((topic, now) -> 1_000, 10_000);
        state.apply(LogRecord.of(
                1, 1, 51_000, LogRecord.PUBLISH, LogRecord.publishBody(1, 2, "t", "s/a", "ana", "12345"), 0));
        state.apply(LogRecord.of(
                2,
                1,
                60_100,
                LogRecord.USAGE_WINDOW_CLOSE,
                PackedBuffer.writer().putLong(5).toByteArray(),
                0));
        final List<TopicState.Count> closed = state.counts(-1, 5);
        state.apply(LogRecord.of(
                3, 2, 59_000, LogRecord.PUBLISH, LogRecord.publishBody(2, 2, "t", "s/a", "ana", "123"), 0));
        assertEquals(state.counts(-1, 5), closed, "a closed window changed");
        assertEquals(state.counts(5, 6), List.of(new TopicState.Count(6, "t", 1, 3)));
    }

    @Test
    public void senderExpiresAnHourAfterItsLastMessageOnEveryReplica() {
        final TopicState state = new TopicState((topic, now) -> 1_000, 10_000);
        final TopicState other = new TopicState((topic, now) -> 1_000, 10_000);
        state.apply(
                LogRecord.of(1, 1, 1_000, LogRecord.PUBLISH, LogRecord.publishBody(7, 2, "t", "s/a", "ana", "x"), 0));
        state.apply(LogRecord.of(
                2, 1, 3_000_000, LogRecord.PUBLISH, LogRecord.publishBody(3, 2, "t", "s/a", "bo", "x"), 0));
        state.apply(LogRecord.of(
                3,
                1,
                3_600_900,
                LogRecord.USAGE_WINDOW_CLOSE,
                PackedBuffer.writer().putLong(359).toByteArray(),
                0));
        assertEquals(state.lookUp("s/a", "ana", 7), 1);
        assertEquals(state.lookUp("s/a", "ana", 6), TopicState.TOO_LOW);
        other.load(state.save());
        for (final TopicState s : List.of(state, other)) {
            s.apply(LogRecord.of(
                    4,
                    1,
                    3_601_100,
                    LogRecord.USAGE_WINDOW_CLOSE,
                    PackedBuffer.writer().putLong(360).toByteArray(),
                    0));
            assertEquals(s.lookUp("s/a", "ana", 7), TopicState.NEW);
            assertEquals(s.lookUp("s/a", "bo", 3), 2);
            assertEquals(s.senders(), 1);
        }
    }
}
