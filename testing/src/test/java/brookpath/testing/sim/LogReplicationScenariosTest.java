package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.message.PeerMessage;
import brookpath.state.record.LogRecord;
import java.util.List;
import org.testng.annotations.Test;

/** A follower accepts only replies of its current leader that refer to its own log. */
public final class LogReplicationScenariosTest extends ClusterScenario {
    @Test
    public void returningLeaderFollowsAndTruncatesItsUncommittedTail() {
        begin(8);
        startCallers();
        final int g = groupOf("permits/t3");
        retireSpareMachine(g);
        final SimulatedProcess leader = actingLeader(g);
        for (final int id : cluster.storages) {
            cluster.net.cut(id, leader.id);
            cluster.net.cut(leader.id, id);
        }
        cluster.run(cluster.now() + 300);
        final long tail = group(leader, g).endIndex();
        cluster.kill(leader, false);
        cluster.net.heal();
        assertTrue(millisUntilOtherLeader(g, leader, 4_000) < cluster.timing.deliverMs());
        cluster.run(cluster.now() + 1_000);
        cluster.restart(leader);
        cluster.run(cluster.now() + 3_000);
        assertEquals(group(leader, g).role(), GroupMachine.FOLLOWER);
        assertNotEquals(group(actingLeader(g), g).endIndex(), tail);
        assertNoViolationsAfterQuiescence();
    }

    @Test
    public void replyOfAnOlderTermIsIgnored() {
        begin(52);
        startCallers();
        final int g = groupOf("permits/t1");
        final SimulatedProcess leader = actingLeader(g);
        final long term = group(leader, g).term();
        cluster.freeze(leader, 5_000);
        final SimulatedProcess voter = awaitVoterOfANewerTerm(g, leader, term);
        assertNotNull(voter, "no follower has voted in a newer term");
        final GroupMachine m = group(voter, g);
        final long end = m.endIndex();
        // a reply of the old leader's term that was in flight and fits the end of this log exactly
        final LogRecord late = LogRecord.of(
                end + 1,
                term,
                0,
                LogRecord.PUBLISH,
                LogRecord.publishBody(9, 2, "members", "permits/t1", "late", "x"),
                0);
        // the voter may have sent its last pull to the other follower, after the leader stopped answering
        for (final Member from : m.members()) {
            if (from.node() != voter.id) {
                final PeerMessage.PullReply reply = replyOfALeader(
                        g, m, term, m.committed(), end, m.logRecord(end).term(), late);
                voter.run(p -> p.node.message(from.node(), reply, p.time()));
            }
        }
        assertEquals(m.endIndex(), end, "a record of a fenced leader was appended");
        cluster.run(cluster.now() + 6_000);
        assertNoViolationsAfterQuiescence();
    }

    @Test
    public void replyThatRefersToAnotherLogIsIgnored() {
        begin(53);
        startCallers();
        final int g = groupOf("permits/t1");
        final SimulatedProcess leader = actingLeader(g);
        final SimulatedProcess follower = followerOf(leader, g);
        final GroupMachine m = group(follower, g);
        cluster.callers.quiet = true;
        cluster.run(cluster.now() + 2_000);
        final long end = m.endIndex();
        final long committed = m.committed();
        // a reply to a pull from when this log was longer or different; its committed index is beyond this log
        final LogRecord beyondEnd = LogRecord.of(
                end + 6,
                m.term(),
                0,
                LogRecord.PUBLISH,
                LogRecord.publishBody(9, 2, "members", "permits/t1", "late", "x"),
                0);
        for (final long asked : new long[] {end + 5, end}) {
            final PeerMessage.PullReply reply =
                    replyOfALeader(g, m, m.term(), end + 6, asked, asked == end ? m.term() + 1 : m.term(), beyondEnd);
            follower.run(p -> p.node.message(leader.id, reply, p.time()));
        }
        assertEquals(m.endIndex(), end);
        assertEquals(m.committed(), committed);
        assertNoViolationsAfterQuiescence();
    }

    /** A follower that has voted in a newer term and does not know that term's leader yet; null for none within 3 s. */
    private SimulatedProcess awaitVoterOfANewerTerm(
            final int group, final SimulatedProcess oldLeader, final long term) {
        for (int i = 0; i < 3_000; i++) {
            cluster.run(cluster.now() + 1);
            SimulatedProcess voter = null;
            for (final int id : cluster.storages) {
                final GroupMachine m = group(cluster.processes.get(id), group);
                if (id != oldLeader.id
                        && m != null
                        && m.term() > term
                        && m.role() == GroupMachine.FOLLOWER
                        && m.leaderHeard() == 0) {
                    voter = cluster.processes.get(id);
                }
            }
            if (voter != null) {
                return voter;
            }
        }
        return null;
    }

    /** A reply with one record, as an acting leader of {@code term} sends it to a member of {@code group}. */
    private static PeerMessage.PullReply replyOfALeader(
            final int groupId,
            final GroupMachine group,
            final long term,
            final long committed,
            final long previousIndex,
            final long previousTerm,
            final LogRecord logRecord) {
        return new PeerMessage.PullReply(
                groupId,
                group.groupVersion(),
                term,
                PeerMessage.PullReply.RECORDS,
                PeerMessage.PullReply.ACTING_LEADER,
                committed,
                previousIndex,
                previousTerm,
                0,
                new byte[0],
                List.of(logRecord));
    }
}
