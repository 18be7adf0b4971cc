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

/** Client calls to the control plane, each to one node; a call without a response times out after a second. */
final class ControlCall {
    /** Stands for a time-out, a connection reset or a lost response. */
    static final Response NO_RESPONSE = new Response(0, 0, "{}");

    private static final long RESPONSE_TIMEOUT_MS = 1_000;
    private static final int MIN_HTTP_STATUS = 100;

    private final SimulatedCluster cluster;
    private final CallHistory history;
    /** Nodes that callers cannot reach. */
    final Set<Integer> unreachable = new HashSet<>();

    private int lostPercent;

    ControlCall(final SimulatedCluster cluster, final CallHistory history) {
        this.cluster = cluster;
        this.history = history;
        cluster.callers.answers = this::answered;
    }

    /** Sets the percentage of acknowledgements that are lost on their way to the operator. */
    void loseAnswers(final int percent) {
        lostPercent = percent;
    }

    /** Decides at random whether this acknowledgement is lost. */
    boolean losesAnswer() {
        return lostPercent > 0 && cluster.random.nextInt(100) < lostPercent;
    }

    /**
     * Calls a node.
     *
     * @param subject the change or the node that the call is about, as its response names it
     * @param then receives the response, or {@link #NO_RESPONSE}
     */
    void call(
            final SimulatedProcess process,
            final String kind,
            final byte[] body,
            final String subject,
            final Consumer<Response> then) {
        final boolean[] pending = {true};
        final Consumer<Response> completeOnce = response -> {
            if (pending[0]) {
                pending[0] = false;
                then.accept(response.status() < MIN_HTTP_STATUS ? NO_RESPONSE : response);
            }
        };
        cluster.at(cluster.now() + RESPONSE_TIMEOUT_MS, () -> completeOnce.accept(NO_RESPONSE));
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
                        completeOnce.accept(response);
                    }
                });
    }

    private void answered(final SimulatedProcess from, final long callId, final Response response) {
        if (response.status() >= MIN_HTTP_STATUS && history.knows(callId)) {
            final ControlAnswer answer = ControlAnswer.of(response);
            history.answered(
                    cluster.now(), callId, new Answer(from.id, from.incarnation, answer.kind(), answer.subject()));
        }
    }
}
