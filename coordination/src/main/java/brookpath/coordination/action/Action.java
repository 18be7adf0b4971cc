package brookpath.coordination.action;

import brookpath.coordination.message.Msg;
import brookpath.coordination.message.Response;

/** What a machine wants done; the executor obeys. */
public sealed interface Action {
    record Send(int node, Msg msg) implements Action {
    }

    /** One entry for the log; the executor says later up to which number all is synced. */
    record Write(long number, byte[] entry) implements Action {
    }

    /** A new segment that begins with this snapshot of everything written so far. */
    record Roll(long number, byte[] snapshot) implements Action {
    }

    /** A full round of sharing-beats is wanted now. */
    record BeatNow() implements Action {
    }

    /** The final response to a caller's job. */
    record Respond(long jobId, Response response) implements Action {
    }

    /** A line for a listening session. */
    record Deliver(long sessionId, byte[] line) implements Action {
    }

    record CloseSession(long sessionId, String why) implements Action {
    }

    /** A post to the platform under an idempotency key; what became of it comes back as a job. */
    record Post(long jobId, String key, String json) implements Action {
    }

    /** A note for the log ring; a grave one has the ring written out. */
    record Note(boolean grave, String text) implements Action {
    }
}
