package brookpath.trial.model;

import static org.testng.Assert.assertNull;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Schedules that broke an invariant once, each shortened; docs/measurements/model.md tells the causes. */
public final class ModelFindingsTest {
    @DataProvider
    public Object[][] findings() {
        return new Object[][] {
            {
                "a promotion accepted by two of four is lost to a majority of the three before",
                StartState.LEARNER,
                "FREEZE:1:0 FREEZE:2:0 PROMOTE:3:4 RUN:0:550 CUT:3:0 THAW:2:0 THAW:1:0 RUN:0:25"
            },
            {
                "a removal that was never accepted keeps a member from the master that it would have removed",
                StartState.LEARNER_OF_FOUR,
                "CUT_OUTBOUND:4:0 REMOVE:4:3 RUN:0:550"
            },
            {
                "a learner that is a voter by the candidate's log alone does not vote",
                StartState.LEARNER,
                "HOLD:3:0 APPEND:3:0 WIPE:1:0 PROMOTE:3:4 CUT:3:0 RUN:0:550"
            },
            {
                "a membership of an earlier epoch makes a member refuse the master of this one",
                StartState.LEARNER_OF_FOUR,
                "PROMOTE:4:5 RUN:0:550 CUT_OUTBOUND:4:0 HOLD:2:0 REMOVE:4:3 CRASH:5:0 RUN:0:550 HEAL:4:0 RUN:0:550"
                        + " RUN:0:250 FREEZE:4:0 RELEASE:2:0 RUN:0:550"
            },
            {
                "a member that rebuilds its copy is not told how far while nothing is appended",
                StartState.LED_BY_FIVE,
                "STALL_DISK:3:0 STALL_DISK:5:0 FREEZE:5:0 WIPE:2:0 CRASH:4:0 RESTART:2:0 RUN:0:250 RUN:0:550 CRASH:3:0"
                        + " THAW:5:0 RESTART:3:0 RUN:0:550 SYNC:5:2 RUN:0:25 FREEZE:5:0 SYNC:3:2 RUN:0:550 RUN:0:550"
                        + " FREEZE:2:0 RESUME_DISK:3:0 THAW:5:0 RUN:0:550 RESTART:4:0 RUN:0:550"
            },
        };
    }

    @Test(dataProvider = "findings")
    public void holdsOn(final String what, final StartState start, final String choices) {
        assertNull(Schedule.replay(start, Choice.parse(choices), true), what);
    }
}
