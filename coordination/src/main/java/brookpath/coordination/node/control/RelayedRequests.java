package brookpath.coordination.node.control;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Msg.Op;
import brookpath.coordination.message.Msg.OpReply;
import brookpath.coordination.message.Response;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Requests that this process carries to the control master, for its own callers or for other processes. Each ends by
 * this process's monotonic clock: an answer that comes later is dropped, however it was held up.
 */
public final class RelayedRequests {
    private static final int MAX_RELAYED = 1_024;

    private record Relayed(long jobId, int from, int master, RequestKind kind, long deadline) {}

    private final Tempo tempo;
    private final Replies replies;
    private final LongSupplier ids;
    private final Actions out;
    private final TreeMap<Long, Relayed> relayed = new TreeMap<>();

    /** @param ids of relayed jobs, never the same twice */
    public RelayedRequests(final Tempo tempo, final Replies replies, final LongSupplier ids, final Actions out) {
        this.tempo = tempo;
        this.replies = replies;
        this.ids = ids;
        this.out = out;
    }

    public boolean isEmpty() {
        return relayed.isEmpty();
    }

    /** Sends a request on to the control master; false where none is heard (0) or too many are under way. */
    public boolean carry(final int from, final Op op, final int master, final long now) {
        if (master == 0 || relayed.size() >= MAX_RELAYED) {
            return false;
        }
        final RequestKind kind = RequestKind.of(op.kind());
        final long deadline = now + (kind.order() ? tempo.opHorizon() : tempo.readHorizon());
        final long id = ids.getAsLong();
        relayed.put(id, new Relayed(op.jobId(), from, master, kind, deadline));
        out.send(master, new Op(id, op.kind(), op.body()));
        return true;
    }

    /** The control master's answer, which may be late. */
    public void onReply(final int from, final OpReply reply, final long now) {
        final Relayed r = relayed.get(reply.jobId());
        // why: only whom the request was carried to can answer it
        if (r == null || r.master != from) {
            return;
        }
        relayed.remove(reply.jobId());
        // why: a process that was frozen may take the answer before the wakeup that ends the request
        if (now >= r.deadline) {
            replies.respond(r.from, r.jobId, late(r));
        } else {
            replies.relay(
                    r.deadline,
                    r.kind,
                    r.from,
                    new OpReply(r.jobId, reply.status(), reply.retryAfterMs(), reply.body()));
        }
    }

    /** Ends what has had no answer in time. */
    public void tick(final long now) {
        relayed.values().removeIf(r -> {
            if (now >= r.deadline) {
                replies.respond(r.from, r.jobId, late(r));
            }
            return now >= r.deadline;
        });
    }

    private Response late(final Relayed r) {
        return replies.lost(r.kind, "no word from the control master in time");
    }

    /** The request never left this process. */
    public void unsent(final Op op) {
        final Relayed r = relayed.remove(op.jobId());
        if (r != null) {
            replies.respond(r.from, r.jobId, replies.unavailable("no session to the control master"));
        }
    }

    /** The session broke; what was sent on it may or may not have arrived. */
    public void sessionLost(final int node) {
        relayed.values().removeIf(r -> {
            if (r.master == node) {
                replies.respond(r.from, r.jobId, replies.lost(r.kind, "the session with the control master broke"));
            }
            return r.master == node;
        });
    }
}
