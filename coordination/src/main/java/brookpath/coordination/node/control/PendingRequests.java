package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.Node.Time;
import java.util.ArrayList;
import java.util.List;

/**
 * Requests that the control leader has received and not responded to yet. A response is sent only after a majority has
 * confirmed the leadership in a heartbeat round that began after the request arrived (a read index), so that no
 * response is older than its request.
 */
public final class PendingRequests {
    private static final int MAX_PENDING = 1_024;

    /** Computes a response from the replicated state; called at each event until it returns one. */
    public interface ResponseSource {
        /** The response as the state is now, or null while it is not known yet. */
        Response at(Time time);
    }

    private record Pending(
            int from,
            long requestId,
            ControlRequestKind kind,
            long term,
            long arrivedAt,
            long deadline,
            ResponseSource responseSource) {}

    private final GroupMachine group;
    private final TimingBounds timing;
    private final ControlResponder responder;
    private final Actions out;
    private final List<Pending> pending = new ArrayList<>();
    /** When the last extra round of heartbeats was requested. */
    private long roundRequestedAt = Long.MIN_VALUE / 2;

    public PendingRequests(
            final GroupMachine group, final TimingBounds timing, final ControlResponder responder, final Actions out) {
        this.group = group;
        this.timing = timing;
        this.responder = responder;
        this.out = out;
    }

    /** Whether no request is pending. */
    public boolean isEmpty() {
        return pending.isEmpty();
    }

    /** The number of pending requests of this kind. */
    public long count(final ControlRequestKind kind) {
        return pending.stream().filter(p -> p.kind == kind).count();
    }

    /**
     * Adds a request, which is responded to once a majority has confirmed the leadership after {@code now} and the
     * response is known.
     */
    public void add(
            final int from,
            final ControlRequest request,
            final ControlRequestKind kind,
            final ResponseSource responseSource,
            final Time time) {
        final long now = time.mono();
        if (pending.size() >= MAX_PENDING) {
            responder.respond(from, request.requestId(), responder.unavailable("too many requests are pending"));
            return;
        }
        final long timeLimit = (kind.isWrite() ? timing.changeRequestDeadline() : timing.readDeadline()) * 9 / 10;
        pending.add(new Pending(from, request.requestId(), kind, group.term(), now, now + timeLimit, responseSource));
        completeReady(time);
    }

    /** Sends the responses that are possible now, and ends the requests whose deadline has passed. */
    public void completeReady(final Time time) {
        pending.removeIf(p -> complete(p, time));
        if (pending.stream().anyMatch(p -> !group.majoritySince(p.arrivedAt))) {
            requestHeartbeatRound(time.mono());
        }
    }

    /**
     * Requests an extra round of heartbeats, since the next periodic one may be far off; one round at a time serves all
     * requests.
     */
    private void requestHeartbeatRound(final long now) {
        // Only a bounded number of heartbeats is remembered, and a reply to a forgotten one does not count
        if (group.majoritySince(roundRequestedAt) || now - roundRequestedAt >= timing.heartbeat() / 4) {
            roundRequestedAt = now;
            out.heartbeatNow();
        }
    }

    /** Responds if the outcome is known or the deadline has passed; returns whether it did. */
    private boolean complete(final Pending p, final Time time) {
        final long now = time.mono();
        if (p.term != group.term() || now >= p.deadline) {
            responder.respond(p.from, p.requestId, responder.outcomeUnknown(p.kind, "no outcome before the deadline"));
            return true;
        }
        if (!group.mayAct(now) || !group.majoritySince(p.arrivedAt)) {
            return false;
        }
        final Response response = p.responseSource.at(time);
        if (response != null) {
            responder.respondBefore(p.deadline, p.kind, p.from, p.requestId, response);
        }
        return response != null;
    }

    /** Fails all requests, since this process is no longer the control leader. */
    public void failAll() {
        pending.forEach(p -> responder.respond(
                p.from, p.requestId, responder.outcomeUnknown(p.kind, "the control leader stepped down")));
        pending.clear();
    }
}
