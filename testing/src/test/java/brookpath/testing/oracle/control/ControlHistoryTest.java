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

/** Each judge of the control plane sees the history that it is there for, and no other. */
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

    private void assertBroken(final ControlRule rule) {
        history.settle();
        assertEquals(
                history.violations.counts().keySet(),
                Set.of(rule),
                history.violations.all().toString());
    }

    private void assertGood() {
        history.settle();
        assertTrue(history.violations.all().isEmpty(), history.violations.all().toString());
    }

    /** Two changes in a row, a lost race, a repeat, reads, a retirement: as it should be. */
    @Test
    public void aGoodHistoryIsGood() {
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
        assertGood();
    }

    // ---- (a) one change for each version

    @Test
    public void twoAcknowledgedOnOneVersionAreSeen() {
        sent(10, "one", 0);
        sent(10, "other", 0);
        history.changes.acknowledged(20, "one", 1);
        history.changes.acknowledged(21, "other", 2);
        assertBroken(ONE_CHANGE_PER_VERSION);
    }

    @Test
    public void oneVersionForTwoChangesIsSeen() {
        sent(10, "one", 0);
        sent(10, "other", 1);
        history.changes.acknowledged(20, "one", 2);
        history.changes.acknowledged(20, "other", 2);
        assertBroken(ONE_CHANGE_PER_VERSION);
    }

    @Test
    public void anotherChangeReadUnderAnAcknowledgedVersionIsSeen() {
        sent(10, "one", 0);
        sent(10, "other", 0);
        history.changes.acknowledged(20, "one", 1);
        read(30, 31, 1, "other");
        assertBroken(ONE_CHANGE_PER_VERSION);
    }

    // ---- (b) read back

    @Test
    public void anOlderReadBackIsSeen() {
        sent(10, "one", 0);
        sent(30, "two", 1);
        history.changes.acknowledged(20, "one", 1);
        history.changes.acknowledged(40, "two", 2);
        history.changes.readBack(35, 50, 1, "one", documentOf("one"));
        assertBroken(READ_BACK);
    }

    @Test
    public void otherBytesReadBackAreSeen() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 1);
        history.changes.readBack(30, 40, 1, "one", documentOf("one") + " ");
        assertBroken(READ_BACK);
    }

    @Test
    public void nothingReadBackIsSeen() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 1);
        history.changes.readBackFailed(50, 503);
        assertBroken(READ_BACK);
    }

    @Test
    public void anInvalidOrUnsentChangeInForceIsSeen() {
        history.changes.sent(new Change("nonsense", 0, "{}", false, 10));
        history.changes.acknowledged(20, "nonsense", 1);
        read(30, 31, 1, "nobody's");
        assertBroken(INVALID_IN_FORCE);
    }

    // ---- (c) reads are linearizable

    @Test
    public void aReadAfterAnAcknowledgementThatGivesAnOlderVersionIsSeen() {
        sent(10, "one", 0);
        sent(25, "two", 1);
        history.changes.acknowledged(20, "one", 1);
        history.changes.acknowledged(40, "two", 2);
        read(39, 45, 1, "one");
        assertTrue(history.violations.all().isEmpty(), "a read that began before may give the older version");
        read(41, 45, 1, "one");
        assertBroken(STALE_READ);
    }

    @Test
    public void aReadAfterANewerReadThatGivesAnOlderVersionIsSeen() {
        sent(10, "one", 0);
        sent(25, "two", 1);
        history.changes.acknowledged(20, "one", 1);
        read(30, 32, 2, "two");
        read(33, 36, 1, "one");
        assertBroken(STALE_READ);
    }

    @Test
    public void noConfigurationAfterAnAcknowledgementIsSeen() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 1);
        history.changes.read(30, 31, 0, "", "");
        assertBroken(STALE_READ);
    }

    @Test
    public void aNewChangeUnderAnOldVersionIsSeen() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 5);
        sent(30, "two", 5);
        history.changes.acknowledged(40, "two", 4);
        assertBroken(STALE_READ);
    }

    // ---- (d) and (e) refusals

    @Test
    public void aRefusedRepeatOfAnAcknowledgedChangeIsSeen() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 1);
        history.changes.refused(30, "one", 409);
        assertBroken(REPEAT_REFUSED);
    }

    @Test
    public void aRefusalOfAChangeThatIsLaterFoundTakenIsSeen() {
        sent(10, "one", 0);
        history.changes.refused(30, "one", 409);
        read(40, 41, 1, "one");
        assertBroken(REPEAT_REFUSED);
    }

    @Test
    public void staleThoughNothingNewerWasInForceIsSeen() {
        sent(10, "one", 0);
        history.changes.acknowledged(20, "one", 1);
        sent(30, "two", 1);
        history.changes.refused(40, "two", 409);
        assertBroken(REFUSED_WITHOUT_CAUSE);
    }

    @Test
    public void aValidChangeCalledInvalidIsSeen() {
        sent(10, "one", 0);
        history.changes.refused(40, "one", 422);
        assertBroken(REFUSED_WITHOUT_CAUSE);
    }

    @Test
    public void anOrderWithoutAnswerInSettledTimeIsSeen() {
        history.availability.disturb(1_000);
        history.availability.changeSent(900, "one");
        final long due = 1_000 + Availability.SETTLE_MS + Availability.ACKNOWLEDGE_MS;
        history.watch(due, List.of());
        assertTrue(history.violations.all().isEmpty(), "an unsettled core excuses it until then");
        history.watch(due + 1, List.of());
        assertBroken(NOT_ANSWERED);
    }

    // ---- (f) retirements

    @Test
    public void aForgottenRetirementIsSeen() {
        history.retirements.acknowledged(10, "machine-1");
        history.retirements.progress(20, 21, "machine-1", Progress.UNKNOWN);
        assertBroken(RETIREMENT);
    }

    @Test
    public void aRefusedRepeatOfARetirementIsSeen() {
        history.retirements.refused(1, 2, "machine-1", 409);
        history.retirements.acknowledged(10, "machine-1");
        assertTrue(history.violations.all().isEmpty(), "what was not taken yet may be refused");
        history.retirements.removed("machine-1");
        history.retirements.refused(20, 21, "machine-1", 404);
        assertBroken(RETIREMENT);
    }

    @Test
    public void aRetirementThatRunsAgainIsSeen() {
        history.retirements.acknowledged(10, "machine-1");
        history.retirements.progress(20, 21, "machine-1", Progress.COMPLETED);
        history.retirements.progress(30, 31, "machine-1", Progress.RUNNING);
        assertBroken(RETIREMENT);
    }

    @Test
    public void aRetirementThatNeverCompletesIsSeen() {
        final long start = Availability.SETTLE_MS;
        history.watch(start, List.of());
        history.retirements.acknowledged(start, "machine-1");
        history.watch(start + RetireHistory.COMPLETE_MS, List.of());
        history.watch(start + RetireHistory.COMPLETE_MS + 1, List.of());
        assertBroken(RETIREMENT);
    }

    // ---- (g) answers

    @Test
    public void anAnswerToNothingAskedIsSeen() {
        history.calls.answered(10, 7, new Answer(CONTROLLER, 1, "", ""));
        assertBroken(WRONG_ANSWER);
    }

    @Test
    public void aSecondAnswerIsSeen() {
        history.calls.asked(7, new Call(CONTROLLER, 1, "change", "one"));
        history.calls.answered(10, 7, new Answer(CONTROLLER, 1, "", ""));
        history.calls.answered(11, 7, new Answer(CONTROLLER, 1, "change", "one"));
        assertBroken(WRONG_ANSWER);
    }

    @Test
    public void anAnswerAfterARestartIsSeen() {
        history.calls.asked(7, new Call(CONTROLLER, 1, "change", "one"));
        history.calls.answered(10, 7, new Answer(CONTROLLER, 2, "change", "one"));
        assertBroken(WRONG_ANSWER);
    }

    @Test
    public void anAnswerFromAnotherProcessIsSeen() {
        history.calls.asked(7, new Call(CONTROLLER, 1, "change", "one"));
        history.calls.answered(10, 7, new Answer(CONTROLLER + 1, 1, "change", "one"));
        assertBroken(WRONG_ANSWER);
    }

    @Test
    public void anAnswerToAnotherOrderIsSeen() {
        history.calls.asked(7, new Call(CONTROLLER, 1, "change", "one"));
        history.calls.answered(10, 7, new Answer(CONTROLLER, 1, "change", "two"));
        assertBroken(WRONG_ANSWER);
    }

    @Test
    public void anAnswerToAnotherKindOfCallIsSeen() {
        history.calls.asked(7, new Call(CONTROLLER, 1, "change", "one"));
        history.calls.answered(10, 7, new Answer(CONTROLLER, 1, "spec", ""));
        assertBroken(WRONG_ANSWER);
    }

    // ---- (h) availability

    @Test
    public void aControllerThatServesNoReadsInSettledTimeIsSeen() {
        history.availability.disturb(1_000);
        final long due = 1_000 + Availability.SETTLE_MS + Availability.READ_MS;
        history.watch(due, List.of(CONTROLLER));
        assertTrue(history.violations.all().isEmpty(), "the bound is not over yet");
        history.watch(due + 1, List.of(CONTROLLER));
        assertBroken(UNAVAILABLE);
    }

    @Test
    public void aControllerThatIsCutOffIsExcused() {
        history.availability.disturb(1_000);
        history.availability.exempt(CONTROLLER, 20_000);
        history.watch(20_000, List.of(CONTROLLER));
        assertGood();
    }

    // ---- (i) topics

    @Test
    public void anCommittedMessageThatNeverArrivesIsSeen() {
        final History topics = new History();
        final History.Listener listener = topics.listener("listener", Set.of("clues/t2"));
        topics.subscribedAt(1, listener, Map.of("clues/t2", 0L));
        topics.committed(20, topics.sending("clues/t2", "ana", 1, "a message"), 1);
        assertTrue(topics.violations().isEmpty());
        topics.settle(100);
        assertEquals(topics.violations().size(), 1, topics.violations().toString());
    }
}
