package brookpath.coordination.action;

import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.Response;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.LogRecord;
import java.util.List;

/** An effect of a decision, which the executor of the process carries out. */
public sealed interface Action {
    /** Sends a message to another process. */
    record Send(int node, PeerMessage message) implements Action {}

    /** A change of the write-ahead log. The executor later reports the number up to which all changes are synced. */
    sealed interface ToDisk extends Action {
        /** The number of the change, one more than that of the change before. */
        long number();
    }

    /** Appends an entry to the write-ahead log. */
    record Write(long number, byte[] entry) implements ToDisk {}

    /**
     * Appends entries to the write-ahead log, one after another. They take effect together, by their contents: the log
     * may end within them after a crash.
     */
    record WriteAll(long number, List<ChunkedBuffer> entries) implements ToDisk {}

    /** Begins a new log segment with this snapshot, which replaces everything written before it. */
    record Roll(long number, ChunkedBuffer snapshot) implements ToDisk {}

    /** Sends a full round of heartbeats without waiting for the period. */
    record HeartbeatNow() implements Action {}

    /** Sends the final response to a caller's request. */
    record Respond(long requestId, Response response) implements Action {}

    /** An action on the connection of a listening session. */
    sealed interface ToSession extends Action {
        /** The id of the session at this gateway. */
        long sessionId();
    }

    /** Delivers a line to a session that has one cursor over all its topics. */
    record DeliverLine(long sessionId, byte[] line) implements ToSession {}

    /**
     * Delivers a record to a session that joins and leaves topics one by one; its cursor is
     * {@code Cursor.encodePosition} of its index.
     */
    record DeliverRecord(long sessionId, LogRecord logRecord) implements ToSession {}

    /** Notifies a session that it no longer listens to a topic that it had joined, and why. */
    record TopicEnded(long sessionId, String topic, Response reason) implements ToSession {}

    /**
     * Asks to be notified, by {@code NodeRequest.SessionFlushed}, once all that was delivered to the session before has
     * been passed on to its connection.
     */
    record NotifyFlushed(long sessionId) implements ToSession {}

    /** Asks a session to reconnect at another gateway; the address is empty where none is known. */
    record MoveSession(long sessionId, String address) implements ToSession {}

    /** Closes a caller's session. */
    record CloseSession(long sessionId, String reason) implements ToSession {}

    /** Posts a document to the platform under an idempotency key; the outcome comes back as a request. */
    record Post(long requestId, String key, String json) implements Action {}

    /** A line for the log ring. A milestone is also printed at once; an error causes the ring to be written out. */
    record Note(Severity severity, String text) implements Action {
        /** Whether the ring is to be written out. */
        public boolean isError() {
            return severity == Severity.ERROR;
        }
    }

    /** The severity of a note. */
    enum Severity {
        INFO,
        /** A rare event, such as a start or an election, that is needed to order what happened across all processes. */
        MILESTONE,
        ERROR
    }
}
