package brookpath.testing.oracle.control;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that each answer matches its call: it comes from the same process in the same incarnation, and has the same
 * kind and subject.
 */
public final class CallHistory {
    /**
     * A call to a process.
     *
     * @param incarnation how often the process has started, which distinguishes answers before and after a restart
     * @param subject what the call is about, as its answer names it; empty if the answer names none
     */
    public record Call(int node, long incarnation, String kind, String subject) {}

    /**
     * An answer from a process.
     *
     * @param kind empty if the answer does not contain it, as with most refusals
     */
    public record Answer(int node, long incarnation, String kind, String subject) {}

    private final ControlViolations violations;
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<Long, Boolean> answered = new HashMap<>();

    /** Adds the violations that it finds to these. */
    public CallHistory(final ControlViolations violations) {
        this.violations = violations;
    }

    /** Records that a call has reached the process. */
    public void asked(final long callId, final Call call) {
        calls.put(callId, call);
    }

    /** Whether this call was recorded here. */
    public boolean knows(final long callId) {
        return calls.containsKey(callId);
    }

    /** Checks the answer of a process to a call. */
    public void answered(final long at, final long callId, final Answer answer) {
        final Call call = calls.get(callId);
        if (call == null) {
            violations.add(at, ControlRule.WRONG_ANSWER, answer + " answers call " + callId + ", which does not exist");
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
            violations.add(
                    at, ControlRule.WRONG_ANSWER, "call " + callId + ", " + call + ", was answered with " + answer);
        }
    }
}
