package brookpath.coordination.node;

import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.node.usage.PostOutcome;
import java.util.List;

/** A request to a process: of a caller, of an operator, or of the process that hosts the node. */
public sealed interface NodeRequest {
    /** Publishes a message of a caller. */
    record Publish(long requestId, String key, String topic, String sender, long seq, String text)
            implements NodeRequest {}

    /** Opens a session on all its topics at once; the request's ID becomes the session's. */
    record Subscribe(long requestId, String key, List<String> topics, String cursor) implements NodeRequest {}

    /**
     * Opens a session that joins and leaves topics one by one, each with its own cursor; the request's ID becomes the
     * session's. An empty key means no key.
     */
    record Open(long requestId, String key) implements NodeRequest {}

    /**
     * Adds a topic to a session; the JSON of the response is the cursor that reading begins at.
     *
     * @param cursor null to begin with the next record
     */
    record Join(long requestId, long sessionId, String topic, String cursor) implements NodeRequest {}

    /** Stops listening to a topic. */
    record Leave(long requestId, long sessionId, String topic) implements NodeRequest {}

    /** Ends a caller's session; there is no response. */
    record Unsubscribe(long sessionId) implements NodeRequest {}

    /**
     * All that was delivered to the session before {@code Action.NotifyFlushed} is with its connection; no response.
     */
    record SessionFlushed(long sessionId) implements NodeRequest {}

    /** Asks how many sessions listen to a topic; the named session is left out. */
    record Count(long requestId, String key, String topic, String session) implements NodeRequest {}

    /** Asks where a publish or a subscription on this topic would be routed at present, and why. */
    record Explain(long requestId, String key, String topic) implements NodeRequest {}

    /** Asks whether this process accepts callers. */
    record ReadinessProbe(long requestId) implements NodeRequest {}

    /** Asks for the status page. */
    record Status(long requestId) implements NodeRequest {}

    /** Starts or stops moving callers to other nodes. */
    record Drain(long requestId, boolean on) implements NodeRequest {}

    /**
     * Prepares the end of the process: it transfers leaderships and sessions to other nodes, and responds once that is
     * complete.
     */
    record GracefulShutdown(long requestId) implements NodeRequest {}

    /** The outcome of a post to the platform. */
    record Posted(long requestId, PostOutcome outcome) implements NodeRequest {}

    /** Applies changed settings to the running process; there is no response. */
    record UpdateSettings(long rollBytes) implements NodeRequest {}

    /** An operator's request for the control leader. */
    record Operate(long requestId, ControlRequestKind kind, byte[] body) implements NodeRequest {}
}
