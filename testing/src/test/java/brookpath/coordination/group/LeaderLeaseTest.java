package brookpath.coordination.group;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.message.PeerMessage.Heartbeat;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.state.record.LogRecord;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** A leader may act only while a majority has recently answered heartbeats that it sent as the leader of its term. */
public final class LeaderLeaseTest {
    private static final int GROUP = 4;
    private static final int SELF = 1;
    private static final long TERM = 3;
    private static final TimingBounds TIMING = TimingBounds.DEFAULT;

    private final Actions out = new Actions();
    private HeartbeatMonitor monitor;
    private PeerView peers;
    private RoleState roleState;
    private RaftLog log;
    private LeaderLease lease;

    /** Sets up a leader of three members that hears both others, has won its term and has committed nothing. */
    private void becomeLeader() {
        out.drain();
        monitor = new HeartbeatMonitor(TIMING, TIMING.heartbeat(), new HeartbeatPromises(TIMING.detectionTime()));
        monitor.setPeers(Set.of(2, 3));
        peers = new PeerView(GROUP, SELF);
        roleState = new RoleState(SELF);
        final GroupMembership membership = new GroupMembership(SELF);
        final VoteStore voteStore = new VoteStore(GROUP, out);
        log = new RaftLog(GROUP, () -> new CountingState(0), () -> {}, out);
        membership.place(new Membership(
                1, List.of(new Member(1, 50, ""), new Member(2, 50, ""), new Member(3, 50, "")), List.of()));
        membership.refresh(log);
        lease = new LeaderLease(GROUP, SELF, TIMING, roleState, membership, voteStore, log, peers);
        voteStore.vote(TERM, SELF);
        roleState.becomeLeader(1, "won", 0);
        log.append(LogRecord.of(1, TERM, 0, LogRecord.NO_OP, new byte[0], 0));
    }

    private static HeartbeatEntry entry(final GroupRole role, final long term, final SyncState sync) {
        return new HeartbeatEntry(GROUP, 1, term, role.code(), sync.code(), 1, 0, 0, 0, 0, 50);
    }

    /** Sends a heartbeat with the entry {@code own}, which the node answers with the entry {@code answer}. */
    private void exchange(final int node, final HeartbeatEntry own, final HeartbeatEntry answer, final long now) {
        out.drain();
        monitor.setOwnEntries(List.of(own));
        monitor.heartbeatNow(now, out);
        for (final Action action : out.drain()) {
            if (action instanceof Action.Send send && send.node() == node) {
                final Heartbeat sent = (Heartbeat) send.message();
                final Heartbeat reply = new Heartbeat(true, sent.id(), sent.stamp(), 0, false, List.of(answer));
                monitor.onHeartbeat(node, reply, now, out);
            }
        }
        peers.update(monitor.table());
    }

    private void answered(final int node, final long now) {
        exchange(
                node,
                entry(GroupRole.LEADER, TERM, SyncState.IN_SYNC),
                entry(GroupRole.FOLLOWER, TERM, SyncState.IN_SYNC),
                now);
    }

    @Test
    public void isHeldForItsLengthAfterAMajorityHasAnswered() {
        becomeLeader();
        assertFalse(lease.held(0), "the lease is held though no voter has answered");
        answered(2, 0);
        assertTrue(lease.held(0));
        assertTrue(lease.held(TIMING.leaderLease()));
        assertFalse(lease.held(TIMING.leaderLease() + 1));
        assertTrue(lease.answered(2, 0));
        assertFalse(lease.answered(3, 0));
    }

    @Test
    public void expiresBeforeTheVotersAreFreeToElectAnother() {
        assertTrue(TIMING.leaderLease() < TIMING.detectionTime());
    }

    @Test
    public void anAnswerToAHeartbeatSentBeforeThisLeadershipDoesNotCount() {
        becomeLeader();
        final HeartbeatEntry follower = entry(GroupRole.FOLLOWER, TERM, SyncState.IN_SYNC);
        exchange(2, entry(GroupRole.CANDIDATE, TERM, SyncState.IN_SYNC), follower, 0);
        assertFalse(lease.held(0));
        exchange(2, entry(GroupRole.LEADER, TERM - 1, SyncState.IN_SYNC), follower, 0);
        assertFalse(lease.held(0));
    }

    @Test
    public void anAnswerFromALaterTermOrALostReplicaDoesNotCount() {
        becomeLeader();
        final HeartbeatEntry leader = entry(GroupRole.LEADER, TERM, SyncState.IN_SYNC);
        exchange(2, leader, entry(GroupRole.FOLLOWER, TERM + 1, SyncState.IN_SYNC), 0);
        assertFalse(lease.held(0));
        exchange(2, leader, entry(GroupRole.FOLLOWER, TERM, SyncState.LOST), 0);
        assertFalse(lease.held(0));
    }

    @Test
    public void aLeaderActsOnlyOnceARecordOfItsTermIsCommitted() {
        becomeLeader();
        answered(2, 0);
        assertFalse(lease.mayAct(0));
        log.commit(1);
        assertTrue(lease.mayAct(0));
        roleState.stepDown("test");
        assertFalse(lease.mayAct(0));
    }

    @Test
    public void aLeaderThatHasAskedAnotherToTakeOverDoesNotAct() {
        becomeLeader();
        log.commit(1);
        answered(2, 0);
        lease.transfer(0);
        assertFalse(lease.mayAct(0));
        final long transferTimedOut = TIMING.detectionTime() + TIMING.voteDeadline();
        answered(2, transferTimedOut);
        assertTrue(lease.mayAct(transferTimedOut), "the leader does not act again after a failed transfer");
    }
}
