package brookpath.coordination.action;

import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.Response;
import brookpath.state.record.LogRecord;

/** What a machine wants done; the executor obeys. */
public sealed interface Action {
    /** Sends a message to another process. */
    record Send(int node, PeerMessage message) implements Action {}

    /** One entry for the log; the executor says later up to which number all is synced. */
    record Write(long number, byte[] entry) implements Action {}

    /** A new segment that begins with this snapshot of everything written so far. */
    record Roll(long number, byte[] snapshot) implements Action {}

    /** A full round of heartbeats is wanted now. */
    record HeartbeatNow() implements Action {}

    /** The final response to a caller's request. */
    record Respond(long requestId, Response response) implements Action {}

    /** What goes to the traffic side of a listening session. */
    sealed interface ToSession extends Action {
        long sessionId();
    }

    /** A line for a session whose topics are listened to as a whole. */
    record DeliverLine(long sessionId, byte[] line) implements ToSession {}

    /**
     * A record for a session that joins and leaves topics one by one; its cursor is {@code Cursor.one} of its index.
     */
    record DeliverRecord(long sessionId, LogRecord logRecord) implements ToSession {}

    /** A topic that a session had joined is no longer listened to, and why. */
    record TopicEnded(long sessionId, String topic, Response reason) implements ToSession {}

    /** The session is to go on elsewhere; the address may be empty. */
    record MoveSession(long sessionId, String address) implements ToSession {}

    /** Ends a caller's session. */
    record CloseSession(long sessionId, String reason) implements ToSession {}

    /** A post to the platform under an idempotency key; what became of it comes back as a request. */
    record Post(long requestId, String key, String json) implements Action {}

    /** A line for the log ring; an error has the ring written out. */
    record Note(Severity severity, String text) implements Action {
        /** Whether the ring is to be written out. */
        public boolean isError() {
            return severity == Severity.ERROR;
        }
    }

    /** How serious a note is. */
    enum Severity {
        INFO,
        ERROR
    }
}
