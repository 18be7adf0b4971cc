package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Requests that this process carries to the control leader, for its own callers or for other processes. Each ends by
 * this process's monotonic clock: an answer that comes later is dropped, however it was held up.
 */
public final class RelayedRequests {
    private static final int MAX_RELAYED = 1_024;

    private record Relayed(long requestId, int from, int leader, RequestKind kind, long deadline) {}

    private final TimingBounds timing;
    private final Replies replies;
    private final LongSupplier ids;
    private final Actions out;
    private final TreeMap<Long, Relayed> relayed = new TreeMap<>();

    /** @param ids of relayed requests, never the same twice */
    public RelayedRequests(
            final TimingBounds timing, final Replies replies, final LongSupplier ids, final Actions out) {
        this.timing = timing;
        this.replies = replies;
        this.ids = ids;
        this.out = out;
    }

    public boolean isEmpty() {
        return relayed.isEmpty();
    }

    /** Sends a request on to the control leader; false where none is heard (0) or too many are under way. */
    public boolean carry(final int from, final ControlRequest op, final int leader, final long now) {
        if (leader == 0 || relayed.size() >= MAX_RELAYED) {
            return false;
        }
        final RequestKind kind = RequestKind.of(op.kind());
        final long deadline = now + (kind.order() ? timing.opDeadline() : timing.readDeadline());
        final long id = ids.getAsLong();
        relayed.put(id, new Relayed(op.requestId(), from, leader, kind, deadline));
        out.send(leader, new ControlRequest(id, op.kind(), op.body()));
        return true;
    }

    /** The control leader's answer, which may be late. */
    public void onReply(final int from, final ControlReply reply, final long now) {
        final Relayed r = relayed.get(reply.requestId());
        // why: only whom the request was carried to can answer it
        if (r == null || r.leader != from) {
            return;
        }
        relayed.remove(reply.requestId());
        // why: a process that was frozen may take the answer before the timer that ends the request
        if (now >= r.deadline) {
            replies.respond(r.from, r.requestId, late(r));
        } else {
            replies.relay(
                    r.deadline,
                    r.kind,
                    r.from,
                    new ControlReply(r.requestId, reply.status(), reply.retryAfterMs(), reply.body()));
        }
    }

    /** Ends what has had no answer in time. */
    public void tick(final long now) {
        relayed.values().removeIf(r -> {
            if (now >= r.deadline) {
                replies.respond(r.from, r.requestId, late(r));
            }
            return now >= r.deadline;
        });
    }

    private Response late(final Relayed r) {
        return replies.lost(r.kind, "no word from the control master in time");
    }

    /** The request never left this process. */
    public void unsent(final ControlRequest op) {
        final Relayed r = relayed.remove(op.requestId());
        if (r != null) {
            replies.respond(r.from, r.requestId, replies.unavailable("no session to the control master"));
        }
    }

    /** The session broke; what was sent on it may or may not have arrived. */
    public void sessionLost(final int node) {
        relayed.values().removeIf(r -> {
            if (r.leader == node) {
                replies.respond(r.from, r.requestId, replies.lost(r.kind, "the session with the control master broke"));
            }
            return r.leader == node;
        });
    }
}
