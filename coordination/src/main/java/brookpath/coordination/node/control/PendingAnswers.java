package brookpath.coordination.node.control;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Msg.Op;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.Node.Time;
import java.util.ArrayList;
import java.util.List;

/**
 * Requests that the control master has taken and not answered yet. Each is answered only by a master that had contact
 * with a majority which began after the request came in (a read index), so that no answer is older than its question.
 */
public final class PendingAnswers {
    private static final int MAX_PENDING = 1_024;

    /** Looks at the replicated state. It is asked again with each event until it answers. */
    public interface Answer {
        /** The response as the state is now, or null while it is not known yet. */
        Response at(Time time);
    }

    private record Pending(
            int from, long jobId, RequestKind kind, long epoch, long arrivedAt, long deadline, Answer answer) {}

    private final GroupMachine group;
    private final Tempo tempo;
    private final Replies replies;
    private final Actions out;
    private final List<Pending> pending = new ArrayList<>();
    /** When the last extra round of beats was asked for. */
    private long askedAt = Long.MIN_VALUE / 2;

    public PendingAnswers(final GroupMachine group, final Tempo tempo, final Replies replies, final Actions out) {
        this.group = group;
        this.tempo = tempo;
        this.replies = replies;
        this.out = out;
    }

    public boolean isEmpty() {
        return pending.isEmpty();
    }

    /** How many requests of this kind wait. */
    public long count(final RequestKind kind) {
        return pending.stream().filter(p -> p.kind == kind).count();
    }

    /** Answers the request once a majority has been heard after now, and the answer is known. */
    public void add(final int from, final Op op, final RequestKind kind, final Answer answer, final Time time) {
        final long now = time.mono();
        if (pending.size() >= MAX_PENDING) {
            replies.respond(from, op.jobId(), replies.unavailable("too many requests are under way"));
            return;
        }
        final long horizon = (kind.order() ? tempo.opHorizon() : tempo.readHorizon()) * 9 / 10;
        pending.add(new Pending(from, op.jobId(), kind, group.epoch(), now, now + horizon, answer));
        step(time);
    }

    /** Answers what can be answered now, and gives up what has waited for too long. */
    public void step(final Time time) {
        pending.removeIf(p -> answered(p, time));
        if (pending.stream().anyMatch(p -> !group.majoritySince(p.arrivedAt))) {
            askMajority(time.mono());
        }
    }

    /** The next periodic beat may be far off, so an extra round of beats is sent: one at a time for all requests. */
    private void askMajority(final long now) {
        // why: only so many beats are remembered, and an answer to a forgotten one counts for nothing
        if (group.majoritySince(askedAt) || now - askedAt >= tempo.beat() / 4) {
            askedAt = now;
            out.beatNow();
        }
    }

    private boolean answered(final Pending p, final Time time) {
        final long now = time.mono();
        if (p.epoch != group.epoch() || now >= p.deadline) {
            replies.respond(p.from, p.jobId, replies.lost(p.kind, "not settled in time"));
            return true;
        }
        if (!group.mayAct(now) || !group.majoritySince(p.arrivedAt)) {
            return false;
        }
        final Response response = p.answer.at(time);
        if (response != null) {
            replies.respondBefore(p.deadline, p.kind, p.from, p.jobId, response);
        }
        return response != null;
    }

    /** This process is the control master no longer. */
    public void end() {
        pending.forEach(p -> replies.respond(p.from, p.jobId, replies.lost(p.kind, "the control master stepped down")));
        pending.clear();
    }
}
