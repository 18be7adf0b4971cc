package brookpath.coordination.node.control;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.Node.Time;
import java.util.ArrayList;
import java.util.List;

/**
 * Requests that the control leader has taken and not answered yet. Each is answered only by a leader that had contact
 * with a majority which began after the request came in (a read index), so that no answer is older than its question.
 */
public final class PendingRequests {
    private static final int MAX_PENDING = 1_024;

    /** Looks at the replicated state. It is asked again with each event until it answers. */
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
    /** When the last extra round of heartbeats was asked for. */
    private long askedAt = Long.MIN_VALUE / 2;

    public PendingRequests(
            final GroupMachine group, final TimingBounds timing, final ControlResponder responder, final Actions out) {
        this.group = group;
        this.timing = timing;
        this.responder = responder;
        this.out = out;
    }

    public boolean isEmpty() {
        return pending.isEmpty();
    }

    /** How many requests of this kind wait. */
    public long count(final ControlRequestKind kind) {
        return pending.stream().filter(p -> p.kind == kind).count();
    }

    /** Answers the request once a majority has been heard after now, and the answer is known. */
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
        final long deadline = (kind.isWrite() ? timing.opDeadline() : timing.readDeadline()) * 9 / 10;
        pending.add(new Pending(from, request.requestId(), kind, group.term(), now, now + deadline, answer));
        step(time);
    }

    /** Answers what can be answered now, and gives up what has waited for too long. */
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
        // Only so many heartbeats are remembered, and an answer to a forgotten one counts for nothing
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

    /** This process is the control leader no longer. */
    public void end() {
        pending.forEach(
                p -> responder.respond(p.from, p.requestId, responder.lost(p.kind, "the control master stepped down")));
        pending.clear();
    }
}
