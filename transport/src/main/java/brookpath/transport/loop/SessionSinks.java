package brookpath.transport.loop;

import brookpath.coordination.action.Action;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The sinks of the listening sessions by session ID. Thread-safe. */
final class SessionSinks {
    private final Map<Long, Host.Sink> sinks = new ConcurrentHashMap<>();

    void add(final long sessionId, final Host.Sink sink) {
        sinks.put(sessionId, sink);
    }

    void remove(final long sessionId) {
        sinks.remove(sessionId);
    }

    void close(final long sessionId, final String reason) {
        final Host.Sink sink = sinks.remove(sessionId);
        if (sink != null) {
            sink.close(reason);
        }
    }

    /** Queues a delivery; false if the queue of the session was full, in which case the session was closed. */
    boolean deliver(final Action.ToSession action) {
        final Host.Sink sink = sinks.get(action.sessionId());
        if (sink == null || sink.offer(action)) {
            return true;
        }
        sink.close("too slow: the waitlist is full");
        sinks.remove(action.sessionId());
        return false;
    }

    /** Runs the task once everything that was queued for the session is with its connection; not for an ended one. */
    void whenFlushed(final long sessionId, final Runnable task) {
        final Host.Sink sink = sinks.get(sessionId);
        if (sink != null) {
            sink.whenFlushed(task);
        }
    }

    void closeAll(final String reason) {
        sinks.values().forEach(sink -> sink.close(reason));
    }

    int size() {
        return sinks.size();
    }
}
