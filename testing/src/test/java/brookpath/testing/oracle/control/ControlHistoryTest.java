package brookpath.testing.oracle.control;

import static brookpath.testing.oracle.control.ControlRule.INVALID_IN_FORCE;
import static brookpath.testing.oracle.control.ControlRule.NOT_ANSWERED;
import static brookpath.testing.oracle.control.ControlRule.ONE_CHANGE_PER_VERSION;
import static brookpath.testing.oracle.control.ControlRule.READ_BACK;
import static brookpath.testing.oracle.control.ControlRule.REFUSED_WITHOUT_CAUSE;
import static brookpath.testing.oracle.control.ControlRule.REPEAT_REFUSED;
import static brookpath.testing.oracle.control.ControlRule.RETIREMENT;
import static brookpath.testing.oracle.control.ControlRule.STALE_READ;
import static brookpath.testing.oracle.control.ControlRule.UNAVAILABLE;
import static brookpath.testing.oracle.control.ControlRule.WRONG_ANSWER;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.testing.oracle.History;
import brookpath.testing.oracle.control.CallHistory.Answer;
import brookpath.testing.oracle.control.CallHistory.Call;
import brookpath.testing.oracle.control.ChangeHistory.Change;
import brookpath.testing.oracle.control.RetireHistory.Progress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Each check of the control plane's history detects the violation of its own rule, and no other. */
public final class ControlHistoryTest {
    private static final int CONTROLLER = 1;

    private ControlHistory history;

    @BeforeMethod
    public void freshHistory() {
        history = new ControlHistory();
    }

    private void sent(final long at, final String changeId, final long basedOn) {
        history.changes.sent(new Change(changeId, basedOn, documentOf(changeId), true, at));
    }

    private void read(final long startedAt, final long at, final long version, final String changeId) {
        history.changes.read(startedAt, at, version, changeId, documentOf(changeId));
    }

    private static String documentOf(final String changeId) {
        return "{\"changeId\":\"" + changeId + "\"}";
    }

    private void assertViolates(final ControlRule rule) {
        history.settle();
        assertEquals(
                history.violations.counts().keySet(),
                Set.of(rule),
                history.violations.all().toString());
    }

    private void assertNoViolation() {
        history.settle();
        assertTrue(history.violations.all().isEmpty(), history.violations.all().toString());
    }

    /** Two successive changes, a change that lost against a concurrent one, a repeat, reads and a retirement. */
    @Test
    public void validHistoryHasNoViolation() {
        sent(10, "first", 0);
        history.changes.acknowledged(20, "first", 1);
        sent(30, "second", 1);
        sent(30, "rival", 1);
        history.changes.acknowledged(40, "second", 2);
        history.changes.refused(41, "rival", 409);
        history.changes.acknowledged(60, "second", 2);
        read(35, 45, 1, "first");
        read(50, 55, 2, "second");
        history.changes.readBack(70, 80, 2, "second", documentOf("second"));
        history.retirements.acknowledged(90, "machine-1");
        history.retirements.progress(91, 92, "machine-1", Progress.RUNNING);
        history.retirements.progress(93, 94, "machine-1", Progress.COMPLETED);
        assertNoViolation();
    }

    // ---- (a) one change per version

    @Test
    public void twoAcknowledgedChangesBasedOnOneVersionAreDetected() {
        sent(10, "one", 0);
        sent(10, "other", 0);
        history.changes.acknowledged(20, "one", 1);
        history.changes.acknowledged(21, "other", 2);
        assertViolates(ONE_CHANGE_PER_VERSION);
    }

    @Test
    public void oneVersionForTwoChangesIsDetected() {
        sent(10, "one", 0);
        sent(10, "other", 1);
        history.changes.acknowledged(20, "one", 2);
        history.changes.acknowledged(20, "other", 2);
        assertViolates(ONE_CHANGE_PER_VERSION);
    }

    @Test
    public void anotherChangeReadUnderAnAcknowledgedVersionIsDetected() {
        sent(10, "one", 0);
        sent(10, "other", 0);
        history.changes.acknowledged(20, "one", 1);
        read(30, 31, 1, "other");
        assertViolates(ONE_CHANGE_PER_VERSION);
    }

    // ---- (b) read back

    @Test
    public void anOlderReadBackIsDetected() {
        sent(10, "one", 0);
        sent(30, "two", 1);
        history.changes.acknowledged(20, "one", 1);
        history.changes.acknowledged(40, "two", 2);
        history.changes.readBack(35, 50, 1, "one", documentOf("one"));
        assertViolates(READ_BACK);
    }

    @Test
    public void differentBytesReadBackAreDetected() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 1);
        history.changes.readBack(30, 40, 1, "one", documentOf("one") + " ");
        assertViolates(READ_BACK);
    }

    @Test
    public void failedReadBackIsDetected() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 1);
        history.changes.readBackFailed(50, 503);
        assertViolates(READ_BACK);
    }

    @Test
    public void anInvalidOrUnsentChangeInForceIsDetected() {
        history.changes.sent(new Change("nonsense", 0, "{}", false, 10));
        history.changes.acknowledged(20, "nonsense", 1);
        read(30, 31, 1, "nobody's");
        assertViolates(INVALID_IN_FORCE);
    }

    // ---- (c) linearizable reads

    @Test
    public void olderVersionReadAfterAnAcknowledgementIsDetected() {
        sent(10, "one", 0);
        sent(25, "two", 1);
        history.changes.acknowledged(20, "one", 1);
        history.changes.acknowledged(40, "two", 2);
        read(39, 45, 1, "one");
        assertTrue(
                history.violations.all().isEmpty(),
                "a read that began before the acknowledgement may return the older version");
        read(41, 45, 1, "one");
        assertViolates(STALE_READ);
    }

    @Test
    public void olderVersionReadAfterANewerOneIsDetected() {
        sent(10, "one", 0);
        sent(25, "two", 1);
        history.changes.acknowledged(20, "one", 1);
        read(30, 32, 2, "two");
        read(33, 36, 1, "one");
        assertViolates(STALE_READ);
    }

    @Test
    public void missingConfigurationAfterAnAcknowledgementIsDetected() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 1);
        history.changes.read(30, 31, 0, "", "");
        assertViolates(STALE_READ);
    }

    @Test
    public void aNewChangeUnderAnOldVersionIsDetected() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 5);
        sent(30, "two", 5);
        history.changes.acknowledged(40, "two", 4);
        assertViolates(STALE_READ);
    }

    // ---- (d) and (e) refusals

    @Test
    public void aRefusedRepeatOfAnAcknowledgedChangeIsDetected() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 1);
        history.changes.refused(30, "one", 409);
        assertViolates(REPEAT_REFUSED);
    }

    @Test
    public void refusalOfAChangeThatIsReadLaterIsDetected() {
        sent(10, "one", 0);
        history.changes.refused(30, "one", 409);
        read(40, 41, 1, "one");
        assertViolates(REPEAT_REFUSED);
    }

    @Test
    public void refusalAsStaleWithoutANewerVersionIsDetected() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 1);
        sent(30, "two", 1);
        history.changes.refused(40, "two", 409);
        assertViolates(REFUSED_WITHOUT_CAUSE);
    }

    @Test
    public void refusalOfAValidChangeAsInvalidIsDetected() {
        sent(10, "one", 0);
        history.changes.refused(40, "one", 422);
        assertViolates(REFUSED_WITHOUT_CAUSE);
    }

    @Test
    public void unansweredChangeWhileSettledIsDetected() {
        history.availability.disturb(1_000);
        history.availability.changeSent(900, "one");
        final long due = 1_000 + Availability.SETTLE_MS + Availability.ACKNOWLEDGE_MS;
        history.watch(due, List.of());
        assertTrue(history.violations.all().isEmpty(), "the time limit has not passed yet since the core settled");
        history.watch(due + 1, List.of());
        assertViolates(NOT_ANSWERED);
    }

    // ---- (f) retirements

    @Test
    public void aForgottenRetirementIsDetected() {
        history.retirements.acknowledged(10, "machine-1");
        history.retirements.progress(20, 21, "machine-1", Progress.UNKNOWN);
        assertViolates(RETIREMENT);
    }

    @Test
    public void aRefusedRepeatOfARetirementIsDetected() {
        history.retirements.refused(1, 2, "machine-1", 409);
        history.retirements.acknowledged(10, "machine-1");
        assertTrue(history.violations.all().isEmpty(), "a retirement that was not accepted yet may be refused");
        history.retirements.removed("machine-1");
        history.retirements.refused(20, 21, "machine-1", 404);
        assertViolates(RETIREMENT);
    }

    @Test
    public void aRetirementThatRunsAgainIsDetected() {
        history.retirements.acknowledged(10, "machine-1");
        history.retirements.progress(20, 21, "machine-1", Progress.COMPLETED);
        history.retirements.progress(30, 31, "machine-1", Progress.RUNNING);
        assertViolates(RETIREMENT);
    }

    @Test
    public void aRetirementThatNeverCompletesIsDetected() {
        final long start = Availability.SETTLE_MS;
        history.watch(start, List.of());
        history.retirements.acknowledged(start, "machine-1");
        history.watch(start + RetireHistory.COMPLETE_MS, List.of());
        history.watch(start + RetireHistory.COMPLETE_MS + 1, List.of());
        assertViolates(RETIREMENT);
    }

    // ---- (g) answers

    @Test
    public void anAnswerWithoutACallIsDetected() {
        history.calls.answered(10, 7, new Answer(CONTROLLER, 1, "", ""));
        assertViolates(WRONG_ANSWER);
    }

    @Test
    public void aSecondAnswerIsDetected() {
        history.calls.asked(7, new Call(CONTROLLER, 1, "change", "one"));
        history.calls.answered(10, 7, new Answer(CONTROLLER, 1, "", ""));
        history.calls.answered(11, 7, new Answer(CONTROLLER, 1, "change", "one"));
        assertViolates(WRONG_ANSWER);
    }

    @Test
    public void anAnswerAfterARestartIsDetected() {
        history.calls.asked(7, new Call(CONTROLLER, 1, "change", "one"));
        history.calls.answered(10, 7, new Answer(CONTROLLER, 2, "change", "one"));
        assertViolates(WRONG_ANSWER);
    }

    @Test
    public void anAnswerFromAnotherProcessIsDetected() {
        history.calls.asked(7, new Call(CONTROLLER, 1, "change", "one"));
        history.calls.answered(10, 7, new Answer(CONTROLLER + 1, 1, "change", "one"));
        assertViolates(WRONG_ANSWER);
    }

    @Test
    public void anAnswerToAnotherSubjectIsDetected() {
        history.calls.asked(7, new Call(CONTROLLER, 1, "change", "one"));
        history.calls.answered(10, 7, new Answer(CONTROLLER, 1, "change", "two"));
        assertViolates(WRONG_ANSWER);
    }

    @Test
    public void anAnswerToAnotherKindOfCallIsDetected() {
        history.calls.asked(7, new Call(CONTROLLER, 1, "change", "one"));
        history.calls.answered(10, 7, new Answer(CONTROLLER, 1, "spec", ""));
        assertViolates(WRONG_ANSWER);
    }

    // ---- (h) availability

    @Test
    public void aControllerThatServesNoReadsWhileSettledIsDetected() {
        history.availability.disturb(1_000);
        final long due = 1_000 + Availability.SETTLE_MS + Availability.READ_MS;
        history.watch(due, List.of(CONTROLLER));
        assertTrue(history.violations.all().isEmpty(), "the time limit has not passed yet");
        history.watch(due + 1, List.of(CONTROLLER));
        assertViolates(UNAVAILABLE);
    }

    @Test
    public void aControllerThatIsCutOffIsExempt() {
        history.availability.disturb(1_000);
        history.availability.exempt(CONTROLLER, 20_000);
        history.watch(20_000, List.of(CONTROLLER));
        assertNoViolation();
    }

    // ---- (i) topics

    @Test
    public void committedMessageThatNeverArrivesIsDetected() {
        final History topics = new History();
        final History.Listener listener = topics.listener("listener", Set.of("clues/t2"));
        topics.subscribedAt(1, listener, Map.of("clues/t2", 0L));
        topics.committed(20, topics.sending("clues/t2", "ana", 1, "a message"), 1);
        assertTrue(topics.violations().isEmpty());
        topics.settle(100);
        assertEquals(topics.violations().size(), 1, topics.violations().toString());
    }
}
