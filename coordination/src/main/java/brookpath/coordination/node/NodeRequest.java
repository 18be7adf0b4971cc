package brookpath.coordination.node;

import brookpath.coordination.node.usage.PostOutcome;
import java.util.List;

/** What a caller or an operator wants of a process. */
public sealed interface NodeRequest {
    /** A caller's message. */
    record Publish(long requestId, String key, String topic, String sender, long seq, String text)
            implements NodeRequest {}

    /** The request's ID is the session's. */
    record Subscribe(long requestId, String key, List<String> topics, String cursor) implements NodeRequest {}

    /**
     * A session that joins and leaves topics one by one, each with its own cursor; the request's ID is the session's.
     * An empty key is none.
     */
    record Open(long requestId, String key) implements NodeRequest {}

    /**
     * The response's JSON is the cursor from which on the topic is listened to.
     *
     * @param cursor null for from now on
     */
    record Join(long requestId, long sessionId, String topic, String cursor) implements NodeRequest {}

    /** Stops listening to a topic. */
    record Leave(long requestId, long sessionId, String topic) implements NodeRequest {}

    /** The caller's session has ended. */
    record Unsubscribe(long sessionId) implements NodeRequest {}

    /** Asks how many sessions listen to a topic; the named session is left out. */
    record Count(long requestId, String key, String topic, String session) implements NodeRequest {}

    /** Why a publish or a subscription on this topic would go where it goes, just now. */
    record Explain(long requestId, String key, String topic) implements NodeRequest {}

    /** Asks whether this process takes callers. */
    record ReadinessProbe(long requestId) implements NodeRequest {}

    /** Asks for the status page. */
    record Status(long requestId) implements NodeRequest {}

    /** Starts or stops sending callers to other nodes. */
    record Drain(long requestId, boolean on) implements NodeRequest {}

    /** The process is to end: whatever others can take over is handed over, and then there is a response. */
    record GracefulShutdown(long requestId) implements NodeRequest {}

    /** What became of a post to the platform. */
    record Posted(long requestId, PostOutcome outcome) implements NodeRequest {}

    /** Settings that were changed under the running process. Nobody waits for a response. */
    record UpdateSettings(long rollBytes) implements NodeRequest {}

    /** An operator's request for the control leader: change, configuration, outcome, nodes. */
    record Operate(long requestId, String kind, byte[] body) implements NodeRequest {}
}
