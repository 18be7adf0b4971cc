package brookpath.coordination.group;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import org.testng.annotations.Test;

/** A member votes once per term, and writes the vote before it is sent. */
public final class VoteStoreTest {
    private static final int GROUP = 4;

    private final Actions out = new Actions();

    private VoteStore store() {
        out.drain();
        return new VoteStore(GROUP, out);
    }

    @Test
    public void givesOneVoteInATerm() {
        final VoteStore store = store();
        store.vote(3, 7);
        assertTrue(store.mayVote(3, 7), "the vote is not repeated for the same candidate");
        assertFalse(store.mayVote(3, 8));
        assertFalse(store.mayVote(2, 7));
        assertTrue(store.mayVote(4, 8));
    }

    @Test
    public void aTermEnteredWithoutAVoteAllowsNoVoteInIt() {
        final VoteStore store = store();
        store.enter(5);
        assertEquals(store.term(), 5);
        assertFalse(store.mayVote(5, 7), "votes in a term whose leader is elected already");
        assertTrue(store.mayVote(6, 7));
    }

    @Test
    public void writesEachChangeAndReturnsTheNumberOfTheWrite() {
        final VoteStore store = store();
        final long write = store.vote(3, 7);
        final List<Action> actions = out.drain();
        assertEquals(actions.size(), 1);
        final Action.Write written = (Action.Write) actions.get(0);
        assertEquals(written.number(), write);
        assertEquals(written.entry(), store.entry());
    }

    @Test
    public void termAndVoteSurviveARestart() {
        final VoteStore store = store();
        store.vote(3, 7);
        final PackedBuffer entry = PackedBuffer.reader(store.entry());
        assertEquals(entry.getLong(), GROUP);
        assertEquals(GroupEntryKind.ofCode(entry.getLong()), GroupEntryKind.VOTE);
        final VoteStore restarted = new VoteStore(GROUP, new Actions());
        restarted.replay(entry.getLong(), (int) entry.getLong());
        assertEquals(restarted.term(), 3);
        assertFalse(restarted.mayVote(3, 8));
        assertTrue(restarted.mayVote(3, 7));
    }

    @Test
    public void aRecordOfALaterTermOnDiskEntersThatTerm() {
        final VoteStore store = store();
        store.replay(3, 7);
        store.replayRecordOf(3);
        assertTrue(store.mayVote(3, 7), "a record of the same term removed the vote");
        store.replayRecordOf(4);
        assertEquals(store.term(), 4);
    }

    @Test
    public void observingAHigherTermDoesNotEnterIt() {
        final VoteStore store = store();
        store.vote(3, 7);
        store.observe(9);
        store.observe(8);
        assertEquals(store.term(), 3);
        assertEquals(store.highestTermSeen(), 9);
    }
}
