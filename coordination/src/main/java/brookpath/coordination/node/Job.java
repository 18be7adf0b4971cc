package brookpath.coordination.node;

import brookpath.coordination.node.usage.PostOutcome;
import java.util.List;

/** What a caller or an operator wants of a process. */
public sealed interface Job {
    /** A caller's message. */
    record Publish(long jobId, String key, String topic, String sender, long seq, String text) implements Job {}

    /** The job's ID is the session's. */
    record Subscribe(long jobId, String key, List<String> topics, String cursor) implements Job {}

    /**
     * A session that joins and leaves topics one by one, each with its own cursor; the job's ID is the session's. An
     * empty key is none.
     */
    record Open(long jobId, String key) implements Job {}

    /**
     * The response's JSON is the cursor from which on the topic is listened to.
     *
     * @param cursor null for from now on
     */
    record Join(long jobId, long sessionId, String topic, String cursor) implements Job {}

    /** Stops listening to a topic. */
    record Leave(long jobId, long sessionId, String topic) implements Job {}

    /** The caller's session has ended. */
    record Unsubscribe(long sessionId) implements Job {}

    /** Asks how many sessions listen to a topic; the named session is left out. */
    record Count(long jobId, String key, String topic, String session) implements Job {}

    /** Why a publish or a subscription on this topic would go where it goes, just now. */
    record Explain(long jobId, String key, String topic) implements Job {}

    /** Asks whether this process takes callers. */
    record Ready(long jobId) implements Job {}

    /** Asks for the status page. */
    record Status(long jobId) implements Job {}

    /** Starts or stops sending callers to other nodes. */
    record Drain(long jobId, boolean on) implements Job {}

    /** The process is to end: whatever others can take over is handed over, and then there is a response. */
    record Retreat(long jobId) implements Job {}

    /** What became of a post to the platform. */
    record Posted(long jobId, PostOutcome outcome) implements Job {}

    /** Settings that were changed under the running process. Nobody waits for a response. */
    record Adopt(long rollBytes) implements Job {}

    /** An operator's job for the control master: change, spec, outcome, nodes. */
    record Operate(long jobId, String kind, byte[] body) implements Job {}
}
