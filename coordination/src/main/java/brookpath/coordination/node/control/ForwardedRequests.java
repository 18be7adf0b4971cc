package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Requests that this process forwards to the control leader, for its own callers or for other processes. Each has a
 * deadline by this process's monotonic clock: a later reply is dropped, whatever delayed it.
 */
public final class ForwardedRequests {
    private static final int MAX_FORWARDED = 1_024;

    private record Forwarded(long requestId, int from, int leader, ControlRequestKind kind, long deadline) {}

    private final TimingBounds timing;
    private final ControlResponder responder;
    private final LongSupplier ids;
    private final Actions out;
    private final TreeMap<Long, Forwarded> forwarded = new TreeMap<>();

    /** @param ids supplies the IDs of forwarded requests, each once */
    public ForwardedRequests(
            final TimingBounds timing, final ControlResponder responder, final LongSupplier ids, final Actions out) {
        this.timing = timing;
        this.responder = responder;
        this.ids = ids;
        this.out = out;
    }

    /** Whether no forwarded request is pending. */
    public boolean isEmpty() {
        return forwarded.isEmpty();
    }

    /** Forwards a request to the control leader; returns false if there is none (0) or too many are in flight. */
    public boolean forward(final int from, final ControlRequest request, final int leader, final long now) {
        if (leader == 0 || forwarded.size() >= MAX_FORWARDED) {
            return false;
        }
        final ControlRequestKind kind = ControlRequestKind.of(request.kind());
        final long deadline = now + (kind.isWrite() ? timing.changeRequestDeadline() : timing.readDeadline());
        final long id = ids.getAsLong();
        forwarded.put(id, new Forwarded(request.requestId(), from, leader, kind, deadline));
        // The kind as it was received, so that kinds of a newer version are forwarded too
        out.send(leader, new ControlRequest(id, request.kind(), request.body()));
        return true;
    }

    /** Delivers the control leader's reply to the origin of the request, unless its deadline has passed. */
    public void onReply(final int from, final ControlReply reply, final long now) {
        final Forwarded r = forwarded.get(reply.requestId());
        // Only the node that the request was forwarded to may reply to it
        if (r == null || r.leader != from) {
            return;
        }
        forwarded.remove(reply.requestId());
        // A process that was suspended may receive the reply before the timer that ends the request
        if (now >= r.deadline) {
            responder.respond(r.from, r.requestId, deadlinePassed(r));
        } else {
            responder.relay(
                    r.deadline,
                    r.kind,
                    r.from,
                    new ControlReply(r.requestId, reply.status(), reply.retryAfterMs(), reply.body()));
        }
    }

    /** Ends the requests whose deadline has passed. */
    public void tick(final long now) {
        forwarded.values().removeIf(r -> {
            if (now >= r.deadline) {
                responder.respond(r.from, r.requestId, deadlinePassed(r));
            }
            return now >= r.deadline;
        });
    }

    private Response deadlinePassed(final Forwarded r) {
        return responder.outcomeUnknown(r.kind, "no response from the control leader before the deadline");
    }

    /** Ends a request that was not sent, with a refusal. */
    public void unsent(final ControlRequest request) {
        final Forwarded r = forwarded.remove(request.requestId());
        if (r != null) {
            responder.respond(r.from, r.requestId, responder.unavailable("no connection to the control leader"));
        }
    }

    /** Ends the requests in flight to a node whose connection broke; they may or may not have arrived. */
    public void connectionLost(final int node) {
        forwarded.values().removeIf(r -> {
            if (r.leader == node) {
                responder.respond(
                        r.from,
                        r.requestId,
                        responder.outcomeUnknown(r.kind, "the connection to the control leader broke"));
            }
            return r.leader == node;
        });
    }
}
