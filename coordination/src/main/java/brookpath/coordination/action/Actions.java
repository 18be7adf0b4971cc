package brookpath.coordination.action;

import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.Response;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.LogRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the actions that follow from an event, in order, and numbers the writes to the log. Not thread-safe: an
 * instance belongs to the one thread that drains it.
 */
public final class Actions {
    private List<Action> collected = new ArrayList<>();
    private long writes;
    private long bytesSinceRoll;

    /** Sends a message to another process. */
    public void send(final int node, final PeerMessage message) {
        collected.add(new Action.Send(node, message));
    }

    /**
     * Appends an entry to the log.
     *
     * @return the number of the write; once the executor reports it as synced, the entry survives a power failure
     */
    public long write(final byte[] entry) {
        bytesSinceRoll += entry.length;
        collected.add(new Action.Write(++writes, entry));
        return writes;
    }

    /**
     * Appends entries to the log that take effect together, by their contents. They are encoded one at a time when they
     * are written.
     *
     * @return the number of the write, as for {@link #write}
     */
    public long writeAll(final List<ChunkedBuffer> entries) {
        bytesSinceRoll += entries.stream().mapToLong(ChunkedBuffer::sizeBytes).sum();
        collected.add(new Action.WriteAll(++writes, entries));
        return writes;
    }

    /** Begins a new log segment with a snapshot that replaces everything written before it. */
    public void roll(final ChunkedBuffer snapshot) {
        bytesSinceRoll = 0;
        collected.add(new Action.Roll(++writes, snapshot));
    }

    /** How many bytes of entries were written since the current segment began. */
    public long bytesSinceRoll() {
        return bytesSinceRoll;
    }

    /** The number of the last write. */
    public long writes() {
        return writes;
    }

    /** Sends a full round of heartbeats without waiting for the period. */
    public void heartbeatNow() {
        collected.add(new Action.HeartbeatNow());
    }

    /** Responds to the request of a caller or an operator. */
    public void respond(final long requestId, final Response response) {
        collected.add(new Action.Respond(requestId, response));
    }

    /** Delivers a line to a session with one cursor over all its topics. */
    public void deliverLine(final long sessionId, final byte[] line) {
        collected.add(new Action.DeliverLine(sessionId, line));
    }

    /** Delivers a record to a session that joins and leaves topics one by one. */
    public void deliverRecord(final long sessionId, final LogRecord logRecord) {
        collected.add(new Action.DeliverRecord(sessionId, logRecord));
    }

    /** Notifies a session that it no longer listens to a topic, and why. */
    public void topicEnded(final long sessionId, final String topic, final Response reason) {
        collected.add(new Action.TopicEnded(sessionId, topic, reason));
    }

    /** Asks to be notified once all that was delivered to the session has been passed on to its connection. */
    public void notifyFlushed(final long sessionId) {
        collected.add(new Action.NotifyFlushed(sessionId));
    }

    /** Asks a session to reconnect at another gateway; the address is empty where none is known. */
    public void moveSession(final long sessionId, final String address) {
        collected.add(new Action.MoveSession(sessionId, address));
    }

    /** Closes a session. */
    public void closeSession(final long sessionId, final String reason) {
        collected.add(new Action.CloseSession(sessionId, reason));
    }

    /** Posts a document to the platform under an idempotency key. */
    public void post(final long requestId, final String key, final String json) {
        collected.add(new Action.Post(requestId, key, json));
    }

    /** Adds a line to the log ring. */
    public void note(final String text) {
        collected.add(new Action.Note(Action.Severity.INFO, text));
    }

    /** Adds a line to the log ring and prints it at once; for rare events that operators order by time. */
    public void milestone(final String text) {
        collected.add(new Action.Note(Action.Severity.MILESTONE, text));
    }

    /** Adds a line to the log ring, and causes the ring to be written out. */
    public void error(final String text) {
        collected.add(new Action.Note(Action.Severity.ERROR, text));
    }

    /** Returns the actions collected since the last call, in order. */
    public List<Action> drain() {
        final List<Action> drained = collected;
        collected = new ArrayList<>();
        return drained;
    }
}
