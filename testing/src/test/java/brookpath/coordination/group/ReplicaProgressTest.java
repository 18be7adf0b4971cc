package brookpath.coordination.group;

import static org.testng.Assert.assertEquals;

import brookpath.coordination.action.Actions;
import brookpath.state.record.LogRecord;
import java.util.List;
import org.testng.annotations.Test;

/** The commit rule: enough synced replicas, and a record of the leader's own term. */
public final class ReplicaProgressTest {
    private static final int SELF = 1;
    private static final int NEEDED = 2;
    private static final long OWN_TERM = 3;
    /** The index of the record with which the leader opened its term. */
    private static final long OPEN_INDEX = 4;

    private final Actions out = new Actions();
    private GroupMembership membership;
    private RaftLog log;
    private ReplicaProgress progress;

    /**
     * Sets up a leader of three voters and a learner, with three records of an earlier term and two of its own, all
     * synced.
     */
    private void becomeLeader() {
        membership = new GroupMembership(SELF);
        log = new RaftLog(0, () -> new CountingState(0), () -> {}, out);
        final List<Member> voters = List.of(member(1), member(2), member(3));
        membership.place(new Membership(1, voters, List.of(member(4))));
        membership.refresh(log);
        progress = new ReplicaProgress(SELF, membership, log);
        for (long index = 1; index <= 5; index++) {
            final long term = index < OPEN_INDEX ? 1 : OWN_TERM;
            log.append(LogRecord.of(index, term, 0, LogRecord.NO_OP, new byte[0], 0));
        }
        log.synced(out.writes());
    }

    private static Member member(final int node) {
        return new Member(node, 50, "");
    }

    private long committable() {
        return progress.committable(NEEDED, OPEN_INDEX, OWN_TERM);
    }

    @Test
    public void aRecordOnTooFewReplicasIsNotCommitted() {
        becomeLeader();
        assertEquals(committable(), 0);
        progress.voterSynced(2, 5);
        assertEquals(committable(), 5);
        assertEquals(
                progress.committable(3, OPEN_INDEX, OWN_TERM), 0, "committable though all three replicas are needed");
    }

    @Test
    public void recordsOfEarlierTermsAreCommittedOnlyWithOneOfTheOwnTerm() {
        becomeLeader();
        progress.voterSynced(2, 3);
        assertEquals(committable(), 0);
        progress.voterSynced(2, 4);
        assertEquals(committable(), 4);
    }

    @Test
    public void aLearnersReplicaCommitsNothing() {
        becomeLeader();
        progress.learnerSynced(4, 5);
        assertEquals(committable(), 0);
        assertEquals(progress.replicas(5), 1);
        assertEquals(progress.ofLearner(4), 5);
    }

    @Test
    public void aRecordThatTheLeaderHasNotSyncedNeedsBothOtherVoters() {
        becomeLeader();
        log.append(LogRecord.of(6, OWN_TERM, 0, LogRecord.NO_OP, new byte[0], 0));
        progress.voterSynced(2, 6);
        assertEquals(committable(), 5);
        progress.voterSynced(3, 6);
        assertEquals(committable(), 6);
    }

    @Test
    public void aLateAcknowledgementDoesNotLowerTheProgressButALostReplicaDoes() {
        becomeLeader();
        progress.voterSynced(2, 5);
        progress.voterSynced(2, 4);
        assertEquals(progress.ofVoter(2), 5);
        progress.forgetVoter(2);
        assertEquals(progress.ofVoter(2), ReplicaProgress.UNKNOWN);
        assertEquals(committable(), 0);
    }

    @Test
    public void replicasOfCommittedRecordsIncludeALearnerThatJoins() {
        becomeLeader();
        progress.voterSynced(2, 5);
        log.commit(committable());
        final List<Member> next = List.of(member(1), member(2), member(3), member(4));
        assertEquals(progress.replicasOfCommitted(next), 2);
        progress.learnerSynced(4, 5);
        assertEquals(progress.replicasOfCommitted(next), 3);
    }
}
