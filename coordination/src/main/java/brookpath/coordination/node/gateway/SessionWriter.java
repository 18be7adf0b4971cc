package brookpath.coordination.node.gateway;

import static brookpath.coordination.message.ResponseStatus.OK;
import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.Cursor;
import brookpath.state.record.LogRecord;
import jakarta.json.Json;
import jakarta.json.JsonObject;

/** Sends records and keep-alive lines to the callers, and the responses that start sessions and topics. */
final class SessionWriter {

    private final int self;
    private final Actions out;

    SessionWriter(final int self, final Actions out) {
        this.self = self;
        this.out = out;
    }

    /** Starts the stream of a session with a shared cursor. */
    void start(final Session session, final long now) {
        session.started = true;
        session.lastLineAt = now;
        final String hello = Json.createObjectBuilder()
                .add("type", "hello")
                .add("session", self + "-" + session.id)
                .build()
                .toString();
        out.respond(session.id, new Response(OK, 0, hello));
    }

    /** Responds to the join request with the topic's cursor, unless the response has been sent already. */
    void confirmJoin(final GroupSubscription subscription) {
        if (subscription.pendingJoin != 0) {
            out.respond(subscription.pendingJoin, new Response(OK, 0, Cursor.encodePosition(subscription.position())));
            subscription.pendingJoin = 0;
        }
    }

    /** Delivers a record, unless the session already has it. */
    void deliver(
            final Session session, final GroupSubscription subscription, final LogRecord logRecord, final long now) {
        if (!subscription.advance(logRecord.topic(), logRecord.index())) {
            return;
        }
        if (!session.sharedCursor) {
            out.deliverRecord(session.id, logRecord);
            return;
        }
        final JsonObject message = Json.createObjectBuilder()
                .add("type", "message")
                .add("topic", logRecord.topic())
                .add("position", logRecord.index())
                .add("sender", logRecord.sender())
                .add("sequence", logRecord.seq())
                .add("message", logRecord.text())
                .add("cursor", Cursor.encode(session.positions()))
                .build();
        writeLine(session, message, now);
    }

    /** Sends a keep-alive line with the cursor to a session with a shared cursor. */
    void keepAlive(final Session session, final long now) {
        final JsonObject alive = Json.createObjectBuilder()
                .add("type", "alive")
                .add("cursor", Cursor.encode(session.positions()))
                .build();
        writeLine(session, alive, now);
    }

    private void writeLine(final Session session, final JsonObject json, final long now) {
        session.lastLineAt = now;
        out.deliverLine(session.id, (json + "\n").getBytes(UTF_8));
    }
}
