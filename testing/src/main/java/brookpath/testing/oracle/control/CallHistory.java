package brookpath.testing.oracle.control;

import java.util.HashMap;
import java.util.Map;

/**
 * Which call each answer belongs to: the same process in the same incarnation, the same kind of call, the same subject.
 */
public final class CallHistory {
    /**
     * A call to a process.
     *
     * @param incarnation counts the starts of the process, so that an answer after a restart is told from one before
     * @param subject what the call is about, as its answer names it; empty where an answer names nothing
     */
    public record Call(int node, long incarnation, String kind, String subject) {}

    /**
     * What an answer says that it is about.
     *
     * @param kind empty where the answer does not tell, as with most refusals
     */
    public record Answer(int node, long incarnation, String kind, String subject) {}

    private final ControlViolations violations;
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<Long, Boolean> answered = new HashMap<>();

    /** Adds what it finds to these violations. */
    public CallHistory(final ControlViolations violations) {
        this.violations = violations;
    }

    /** A call has reached the process. */
    public void asked(final long callId, final Call call) {
        calls.put(callId, call);
    }

    /** Whether this is one of the calls that are checked here. */
    public boolean knows(final long callId) {
        return calls.containsKey(callId);
    }

    /** A process has answered a call. */
    public void answered(final long at, final long callId, final Answer answer) {
        final Call call = calls.get(callId);
        if (call == null) {
            violations.add(at, ControlRule.WRONG_ANSWER, answer + " answers call " + callId + ", which nobody made");
            return;
        }
        if (answered.put(callId, true) != null) {
            violations.add(at, ControlRule.WRONG_ANSWER, "call " + callId + ", " + call + ", was answered twice");
        }
        final boolean otherProcess = answer.node() != call.node() || answer.incarnation() != call.incarnation();
        final boolean otherKind = !answer.kind().isEmpty() && !answer.kind().equals(call.kind());
        final boolean otherSubject = !answer.kind().isEmpty()
                && !call.subject().isEmpty()
                && !answer.subject().equals(call.subject());
        if (otherProcess || otherKind || otherSubject) {
            violations.add(at, ControlRule.WRONG_ANSWER, "call " + callId + ", " + call + ", was given " + answer);
        }
    }
}
