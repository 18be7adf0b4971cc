package brookpath.trial.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Action;
import brookpath.coordination.beat.BeatTable;
import brookpath.coordination.message.Msg.Op;
import brookpath.coordination.message.Msg.OpReply;
import brookpath.coordination.message.Msg.SpecPoll;
import brookpath.coordination.message.Msg.SpecReply;
import brookpath.coordination.node.FrontNode;
import brookpath.coordination.node.Job;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.state.record.Pack;
import java.util.List;
import org.testng.annotations.Test;

/** Replies that third nodes carry may outlive the life of the process that asked; they answer no other. */
public final class CallIdsTest {
    private static final NodeInfo FRONT = new NodeInfo(31, "a", "sim:31", "", 31);
    private static final List<Integer> SEEDS = List.of(1, 2, 3);
    private static final long FORMER_IDS = 1L << 40;
    private static final long IDS = 1L << 50;
    private static final Time NOW = new Time(10_000, 10_000);

    private static FrontNode life(final long firstId) {
        return new FrontNode(FRONT, SEEDS, Tempo.DEFAULT, firstId);
    }

    private static SpecPoll poll(final FrontNode front) {
        return front.tick(NOW, BeatTable.EMPTY).stream()
                .filter(a -> a instanceof Action.Send s && s.msg() instanceof SpecPoll)
                .map(a -> (SpecPoll) ((Action.Send) a).msg())
                .findFirst()
                .orElseThrow();
    }

    private static SpecReply grant(final SpecPoll poll) {
        return new SpecReply(poll.pollId(), true, 1, 1, 0, new byte[0], 0, new byte[0], FRONT.node(), NOW.wall());
    }

    @Test
    public void aGrantForAFormerLifeGivesNoLease() {
        final SpecPoll former = poll(life(FORMER_IDS));
        final FrontNode front = life(IDS);
        final SpecPoll own = poll(front);
        assertNotEquals(own.pollId(), former.pollId());
        front.message(2, grant(former), NOW);
        assertFalse(front.client().leased(NOW.mono()), "an answer to a former life's poll granted a lease");
        front.message(2, grant(own), NOW);
        assertTrue(front.client().leased(NOW.mono()));
    }

    @Test
    public void addressesThatAFormerLifeAskedForAreNotTaken() {
        final Proc proc = World.serving(81).procs.get(31);
        final FrontNode front = (FrontNode) proc.node;
        final byte[] elsewhere =
                Pack.writer().num(1).num(32).str("a").str("gone:1").done();
        final Op question = front.job(new Job.Drain(1, true), proc.time()).stream()
                .filter(a -> a instanceof Action.Send s && s.msg() instanceof Op)
                .map(a -> (Op) ((Action.Send) a).msg())
                .findFirst()
                .orElseThrow();
        front.message(2, new OpReply(0, 200, 0, elsewhere), proc.time());
        front.message(2, new OpReply(question.jobId() - 1, 200, 0, elsewhere), proc.time());
        assertEquals(sentOn(front, proc), "", "sent on by an answer to a question that was not asked");
        front.message(2, new OpReply(question.jobId(), 200, 0, elsewhere), proc.time());
        assertEquals(sentOn(front, proc), "gone:1");
    }

    private static String sentOn(final FrontNode front, final Proc proc) {
        return front.job(new Job.Open(7, "key-members"), proc.time()).stream()
                .filter(a -> a instanceof Action.Move)
                .map(a -> ((Action.Move) a).address())
                .findFirst()
                .orElseThrow();
    }
}
