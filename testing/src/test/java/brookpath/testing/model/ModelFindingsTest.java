package brookpath.testing.model;

import static org.testng.Assert.assertNull;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Schedules that broke an invariant once, each shortened; docs/measurements/model.md tells the causes. */
public final class ModelFindingsTest {
    @DataProvider(parallel = true)
    public Object[][] findings() {
        return new Object[][] {
            {
                "a promotion accepted by the floor of four is lost to a majority of the three before",
                StartState.LEARNER,
                "HOLD:2:0 HOLD:1:0 APPEND:3:0 CUT:1:0 PROMOTE:3:4 RUN:0:25 WIPE:3:0"
            },
            {
                "a record accepted by two of four is lost to a majority of three by a removal that was never accepted",
                StartState.LEARNER_OF_FOUR,
                "HOLD:3:0 HAND_OVER:4:2 RUN:0:25 REMOVE:2:1 CRASH:4:0 RUN:0:550 RUN:0:550 CRASH:2:0 RUN:0:25 RUN:0:25 RUN:0:25 RUN:0:25 SKEW:3:0 RUN:0:550 RUN:0:550 RUN:0:550 RUN:0:25 RUN:0:550 RUN:0:25 RUN:0:550 RUN:0:25 RUN:0:550 RELEASE:3:0 RUN:0:550 RUN:0:25 RUN:0:25 RUN:0:25 RUN:0:550 RUN:0:25 RUN:0:25 RUN:0:25 RUN:0:25 CUT:3:0 RESTART:4:0 RUN:0:250 RUN:0:250 RUN:0:25 HEAL:3:0 RUN:0:25 CUT:4:0 FREEZE:1:0 RESTART:2:0 RUN:0:250 RUN:0:250 RUN:0:250"
            },
            {
                "a removal that was never accepted hides the master that it would have removed",
                StartState.LED_BY_FIVE,
                "CUT:2:0 HOLD:1:0 REMOVE:5:4 RUN:0:550 WIPE:3:0 RUN:0:550 CUT_INBOUND:5:0 RUN:0:250 RUN:0:250"
            },
            {
                "a voter by the candidate's log alone does not vote",
                StartState.FOUR_VOTERS,
                "REMOVE:3:2 WIPE:3:0 RUN:0:550 ADD_LEARNER:4:2 RUN:0:550 RUN:0:250 RUN:0:250 PROMOTE:4:2 CUT:4:0 RUN:0:250 RUN:0:250"
            },
            {
                "a membership of an earlier epoch refuses the master of this one",
                StartState.LEARNER_OF_FOUR,
                "CUT:4:0 RUN:0:550 RUN:0:550 REMOVE:3:2 RUN:0:550 RUN:0:550 RUN:0:550 RUN:0:25 RUN:0:550 RUN:0:25 RUN:0:550 RUN:0:25 CUT:1:0 ADD_LEARNER:3:2 RUN:0:250 CUT_OUTBOUND:3:0 HEAL:1:0 HEAL:4:0 RUN:0:550"
            },
            {
                "a removed member receives the record of its removal",
                StartState.LED_BY_FIVE,
                "CUT:3:0 CUT:2:0 HOLD:1:0 SKEW:3:0 REMOVE:5:4 RUN:0:250 RUN:0:550"
            },
            {
                "a member that rebuilds its copy is not told how far while nothing is appended",
                StartState.LED_BY_FIVE,
                "WIPE:5:0"
            },
            {
                "a removed master goes on telling that it masters the group",
                StartState.LED_BY_FIVE,
                "HOLD:3:0 APPEND:5:0 FREEZE:5:0 RUN:0:250 RUN:0:250 REMOVE:4:5 RUN:0:25 HAND_OVER:4:1 RUN:0:25 ADD_LEARNER:1:5 RUN:0:25 WIPE:2:0 CRASH:4:0 THAW:5:0 CUT_INBOUND:5:0 RUN:0:550"
            },
        };
    }

    @Test(dataProvider = "findings")
    public void holdsOn(final String what, final StartState start, final String choices) {
        assertNull(Schedule.replay(start, Choice.parse(choices), true), what);
    }
}
