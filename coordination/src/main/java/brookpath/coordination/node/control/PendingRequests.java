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
 * Requests that the control leader has accepted and not responded to yet. A response is sent only after a majority has
 * confirmed the leadership in a heartbeat round that began after the request arrived (a read index), so that no
 * response is older than its request.
 */
public final class PendingRequests {
    private static final int MAX_PENDING = 1_024;

    /** Computes a response from the replicated state. It is called at each event until it returns one. */
    public interface Answer {
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
            Answer answer) {}

    private final GroupMachine group;
    private final TimingBounds timing;
    private final ControlResponder responder;
    private final Actions out;
    private final List<Pending> pending = new ArrayList<>();
    /** When the last extra round of heartbeats was requested. */
    private long askedAt = Long.MIN_VALUE / 2;

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
            final Answer answer,
            final Time time) {
        final long now = time.mono();
        if (pending.size() >= MAX_PENDING) {
            responder.respond(from, request.requestId(), responder.unavailable("too many requests are under way"));
            return;
        }
        final long deadline = (kind.isWrite() ? timing.changeRequestDeadline() : timing.readDeadline()) * 9 / 10;
        pending.add(new Pending(from, request.requestId(), kind, group.term(), now, now + deadline, answer));
        step(time);
    }

    /** Sends the responses that are possible now, and ends the requests whose deadline has passed. */
    public void step(final Time time) {
        pending.removeIf(p -> answered(p, time));
        if (pending.stream().anyMatch(p -> !group.majoritySince(p.arrivedAt))) {
            askMajority(time.mono());
        }
    }

    /**
     * The next periodic heartbeat may be far off, so an extra round of heartbeats is sent: one at a time for all
     * requests.
     */
    private void askMajority(final long now) {
        // Only a bounded number of heartbeats is remembered, and a reply to a forgotten one does not count
        if (group.majoritySince(askedAt) || now - askedAt >= timing.heartbeat() / 4) {
            askedAt = now;
            out.heartbeatNow();
        }
    }

    private boolean answered(final Pending p, final Time time) {
        final long now = time.mono();
        if (p.term != group.term() || now >= p.deadline) {
            responder.respond(p.from, p.requestId, responder.lost(p.kind, "not settled in time"));
            return true;
        }
        if (!group.mayAct(now) || !group.majoritySince(p.arrivedAt)) {
            return false;
        }
        final Response response = p.answer.at(time);
        if (response != null) {
            responder.respondBefore(p.deadline, p.kind, p.from, p.requestId, response);
        }
        return response != null;
    }

    /** Ends all requests: this process is no longer the control leader. */
    public void end() {
        pending.forEach(
                p -> responder.respond(p.from, p.requestId, responder.lost(p.kind, "the control master stepped down")));
        pending.clear();
    }
}
