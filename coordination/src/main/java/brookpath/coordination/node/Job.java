package brookpath.coordination.node;

import java.util.List;

/** What a caller or an operator wants of a process. */
public sealed interface Job {
    record Publish(long jobId, String key, String topic, String sender, long seq, String text) implements Job {
    }

    /** The job's ID is the session's. */
    record Subscribe(long jobId, String key, List<String> topics, String cursor) implements Job {
    }

    record Unsubscribe(long sessionId) implements Job {
    }

    record Count(long jobId, String key, String topic, String session) implements Job {
    }

    /** Why a publish or a subscription on this topic would go where it goes, just now. */
    record Explain(long jobId, String key, String topic) implements Job {
    }

    record Ready(long jobId) implements Job {
    }

    record Status(long jobId) implements Job {
    }

    record Drain(long jobId, boolean on) implements Job {
    }

    /** What became of a post to the platform; status 0 where there was no response. */
    record Posted(long jobId, int status) implements Job {
    }

    /** Settings that were changed under the running process. Nobody waits for a response. */
    record Adopt(long rollBytes) implements Job {
    }

    /** An operator's job for the control master: change, spec, outcome, nodes. */
    record Operate(long jobId, String kind, byte[] body) implements Job {
    }
}
