package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Requests that this process forwards to the control leader, for its own callers or for other processes. Each ends by
 * this process's monotonic clock: an answer that comes later is dropped, however it was held up.
 */
public final class ForwardedRequests {
    private static final int MAX_FORWARDED = 1_024;

    private record Forwarded(long requestId, int from, int leader, ControlRequestKind kind, long deadline) {}

    private final TimingBounds timing;
    private final ControlResponder responder;
    private final LongSupplier ids;
    private final Actions out;
    private final TreeMap<Long, Forwarded> forwarded = new TreeMap<>();

    /** @param ids of relayed requests, never the same twice */
    public ForwardedRequests(
            final TimingBounds timing, final ControlResponder responder, final LongSupplier ids, final Actions out) {
        this.timing = timing;
        this.responder = responder;
        this.ids = ids;
        this.out = out;
    }

    public boolean isEmpty() {
        return forwarded.isEmpty();
    }

    /** Sends a request on to the control leader; false where none is heard (0) or too many are under way. */
    public boolean forward(final int from, final ControlRequest request, final int leader, final long now) {
        if (leader == 0 || forwarded.size() >= MAX_FORWARDED) {
            return false;
        }
        final ControlRequestKind kind = ControlRequestKind.of(request.kind());
        final long deadline = now + (kind.isWrite() ? timing.opDeadline() : timing.readDeadline());
        final long id = ids.getAsLong();
        forwarded.put(id, new Forwarded(request.requestId(), from, leader, kind, deadline));
        out.send(leader, new ControlRequest(id, request.kind(), request.body()));
        return true;
    }

    /** The control leader's answer, which may be late. */
    public void onReply(final int from, final ControlReply reply, final long now) {
        final Forwarded r = forwarded.get(reply.requestId());
        // Only whom the request was forwarded to can answer it
        if (r == null || r.leader != from) {
            return;
        }
        forwarded.remove(reply.requestId());
        // A process that was frozen may take the answer before the timer that ends the request
        if (now >= r.deadline) {
            responder.respond(r.from, r.requestId, late(r));
        } else {
            responder.relay(
                    r.deadline,
                    r.kind,
                    r.from,
                    new ControlReply(r.requestId, reply.status(), reply.retryAfterMs(), reply.body()));
        }
    }

    /** Ends what has had no answer in time. */
    public void tick(final long now) {
        forwarded.values().removeIf(r -> {
            if (now >= r.deadline) {
                responder.respond(r.from, r.requestId, late(r));
            }
            return now >= r.deadline;
        });
    }

    private Response late(final Forwarded r) {
        return responder.lost(r.kind, "no word from the control master in time");
    }

    /** The request never left this process. */
    public void unsent(final ControlRequest request) {
        final Forwarded r = forwarded.remove(request.requestId());
        if (r != null) {
            responder.respond(r.from, r.requestId, responder.unavailable("no session to the control master"));
        }
    }

    /** The session broke; what was sent on it may or may not have arrived. */
    public void sessionLost(final int node) {
        forwarded.values().removeIf(r -> {
            if (r.leader == node) {
                responder.respond(
                        r.from, r.requestId, responder.lost(r.kind, "the session with the control master broke"));
            }
            return r.leader == node;
        });
    }
}
