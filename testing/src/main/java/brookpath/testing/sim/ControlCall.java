package brookpath.testing.sim;

import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.NodeRequest;
import brookpath.testing.oracle.control.CallHistory;
import brookpath.testing.oracle.control.CallHistory.Answer;
import brookpath.testing.oracle.control.CallHistory.Call;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Calls of the control plane as a client makes them: one machine at a time, given up after a second of silence. */
final class ControlCall {
    /** Stands for silence, a reset or an answer that was lost. */
    static final Response SILENCE = new Response(0, 0, "{}");

    private static final long PATIENCE_MS = 1_000;
    private static final int REACHED = 100;

    private final SimulatedCluster cluster;
    private final CallHistory history;
    /** Machines that callers cannot reach. */
    final Set<Integer> unreachable = new HashSet<>();

    private int lostPercent;

    ControlCall(final SimulatedCluster cluster, final CallHistory history) {
        this.cluster = cluster;
        this.history = history;
        cluster.callers.answers = this::answered;
    }

    /** From now on so many of a hundred acknowledgements are lost on their way to the operator. */
    void loseAnswers(final int percent) {
        lostPercent = percent;
    }

    /** By chance: is this acknowledgement lost? */
    boolean losesAnswer() {
        return lostPercent > 0 && cluster.random.nextInt(100) < lostPercent;
    }

    /**
     * Calls a machine.
     *
     * @param subject what the call is about, as its answer names it
     * @param then hears of the answer, or of silence
     */
    void call(
            final SimulatedProcess process,
            final String kind,
            final byte[] body,
            final String subject,
            final Consumer<Response> then) {
        final boolean[] open = {true};
        final Consumer<Response> once = response -> {
            if (open[0]) {
                open[0] = false;
                then.accept(response.status() < REACHED ? SILENCE : response);
            }
        };
        cluster.at(cluster.now() + PATIENCE_MS, () -> once.accept(SILENCE));
        if (unreachable.contains(process.id)) {
            return;
        }
        cluster.callers.ask(
                process,
                id -> {
                    history.asked(id, new Call(process.id, process.incarnation, kind, subject));
                    return new NodeRequest.Operate(id, ControlRequestKind.of(kind), body);
                },
                response -> {
                    if (!unreachable.contains(process.id)) {
                        once.accept(response);
                    }
                });
    }

    private void answered(final SimulatedProcess from, final long callId, final Response response) {
        if (response.status() >= REACHED && history.knows(callId)) {
            final ControlAnswer answer = ControlAnswer.of(response);
            history.answered(
                    cluster.now(), callId, new Answer(from.id, from.incarnation, answer.kind(), answer.subject()));
        }
    }
}
