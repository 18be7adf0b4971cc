package brookpath.testing.model;

import static org.testng.Assert.assertNull;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Shortened schedules that once violated an invariant; docs/measurements/model.md explains the causes. */
public final class ModelFindingsTest {
    @DataProvider(parallel = true)
    public Object[][] findings() {
        return new Object[][] {
            {
                "a promotion committed by the quorum of four voters is lost to a majority of the three voters before it",
                StartState.LEARNER,
                "HOLD:2:0 HOLD:1:0 APPEND:3:0 CUT:1:0 PROMOTE:3:4 RUN:0:25 WIPE:3:0"
            },
            {
                "a record committed by two of four is lost to a majority of three through a removal that was never committed",
                StartState.LEARNER_OF_FOUR,
                "HOLD:3:0 HAND_OVER:4:2 RUN:0:25 REMOVE:2:1 CRASH:4:0 RUN:0:550 RUN:0:550 CRASH:2:0 RUN:0:25 RUN:0:25 RUN:0:25 RUN:0:25 SKEW:3:0 RUN:0:550 RUN:0:550 RUN:0:550 RUN:0:25 RUN:0:550 RUN:0:25 RUN:0:550 RUN:0:25 RUN:0:550 RELEASE:3:0 RUN:0:550 RUN:0:25 RUN:0:25 RUN:0:25 RUN:0:550 RUN:0:25 RUN:0:25 RUN:0:25 RUN:0:25 CUT:3:0 RESTART:4:0 RUN:0:250 RUN:0:250 RUN:0:25 HEAL:3:0 RUN:0:25 CUT:4:0 FREEZE:1:0 RESTART:2:0 RUN:0:250 RUN:0:250 RUN:0:250"
            },
            {
                "a member with an uncommitted removal does not hear the leader that it would have removed",
                StartState.LED_BY_FIVE,
                "CUT:2:0 HOLD:1:0 REMOVE:5:4 RUN:0:550 WIPE:3:0 RUN:0:550 CUT_INBOUND:5:0 RUN:0:250 RUN:0:250"
            },
            {
                "a member that is a voter only in the candidate's log does not vote",
                StartState.FOUR_VOTERS,
                "REMOVE:3:2 WIPE:3:0 RUN:0:550 ADD_LEARNER:4:2 RUN:0:550 RUN:0:250 RUN:0:250 PROMOTE:4:2 CUT:4:0 RUN:0:250 RUN:0:250"
            },
            {
                "a member with a membership of an earlier term refuses the leader of the current term",
                StartState.LEARNER_OF_FOUR,
                "CUT:4:0 RUN:0:550 RUN:0:550 REMOVE:3:2 RUN:0:550 RUN:0:550 RUN:0:550 RUN:0:25 RUN:0:550 RUN:0:25 RUN:0:550 RUN:0:25 CUT:1:0 ADD_LEARNER:3:2 RUN:0:250 CUT_OUTBOUND:3:0 HEAL:1:0 HEAL:4:0 RUN:0:550"
            },
            {
                "a removed member receives the record of its removal",
                StartState.LED_BY_FIVE,
                "CUT:3:0 CUT:2:0 HOLD:1:0 SKEW:3:0 REMOVE:5:4 RUN:0:250 RUN:0:550"
            },
            {
                "a member that rebuilds its replica does not learn the committed index while nothing is appended",
                StartState.LED_BY_FIVE,
                "WIPE:5:0"
            },
            {
                "a removed leader keeps reporting that it leads the group",
                StartState.LED_BY_FIVE,
                "HOLD:3:0 APPEND:5:0 FREEZE:5:0 RUN:0:250 RUN:0:250 REMOVE:4:5 RUN:0:25 HAND_OVER:4:1 RUN:0:25 ADD_LEARNER:1:5 RUN:0:25 WIPE:2:0 CRASH:4:0 THAW:5:0 CUT_INBOUND:5:0 RUN:0:550"
            },
        };
    }

    @Test(dataProvider = "findings")
    public void invariantsHold(final String fault, final StartState start, final String choices) {
        assertNull(Schedule.replay(start, Choice.parse(choices), true), fault);
    }
}
