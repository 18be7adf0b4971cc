package brookpath.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.beat.BeatMachine;
import brookpath.coordination.beat.Pledges;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.Msg.Beat;
import brookpath.coordination.message.Msg.BeatEntry;
import brookpath.coordination.message.Msg.Publish;
import brookpath.coordination.message.Msg.PublishReply;
import brookpath.coordination.node.Job;
import brookpath.coordination.node.front.PublishForwarder;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.GroupInfo;
import brookpath.coordination.spec.Spec;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a reply to one attempt of a publish says of the others. */
public final class PublishForwarderTest {
    private static final Tempo TEMPO = Tempo.DEFAULT;
    private static final int GROUP = 0;
    private static final int ONE = 11;
    private static final int TWO = 12;
    private static final long FIRST_ID = 5_000;
    private static final Roster ROSTER = new Roster(
            1,
            List.of(),
            List.of(new GroupInfo(
                    GROUP,
                    true,
                    new Membership(1, List.of(new Member(ONE, 50, "a"), new Member(TWO, 40, "b")), List.of()))),
            List.of());

    private Actions out;
    private BeatMachine beats;
    private PublishForwarder forwarder;
    private long ids;
    private long now;
    private final List<Action.Send> sent = new ArrayList<>();
    private final List<Action.Respond> responses = new ArrayList<>();

    @BeforeMethod
    public void begin() {
        out = new Actions();
        beats = new BeatMachine(TEMPO, TEMPO.beat(), new Pledges(TEMPO.down()));
        beats.siblings(Set.of(ONE, TWO));
        ids = FIRST_ID;
        now = 1_000;
        sent.clear();
        responses.clear();
        forwarder = new PublishForwarder(
                TEMPO, time -> new RouteFinder(Spec.NONE, ROSTER, beats.table(), true, "a", TEMPO), () -> ++ids, out);
    }

    private void masters(final int node, final long epoch) {
        final BeatEntry entry = new BeatEntry(GROUP, 1, epoch, BeatEntry.MASTER, 0, 1, 1, epoch, 1, node, 50);
        final Actions round = new Actions();
        beats.beatNow(now, round);
        final Beat asked = round.drain().stream()
                .filter(a -> a instanceof Action.Send s && s.node() == node)
                .map(a -> (Beat) ((Action.Send) a).msg())
                .findFirst()
                .orElseThrow();
        beats.onBeat(node, new Beat(true, asked.id(), now, 0, false, List.of(entry)), now, round);
    }

    private void obey() {
        for (final Action action : out.drain()) {
            if (action instanceof Action.Send a) {
                sent.add(a);
            } else if (action instanceof Action.Respond a) {
                responses.add(a);
            }
        }
    }

    private Publish publish() {
        forwarder.add(
                new Job.Publish(1, "key", "topic", "ana", 7, "text"),
                new Route(null, "tenant", GROUP, 0, ""),
                1,
                0,
                now);
        obey();
        assertEquals(sent.size(), 1);
        return (Publish) sent.get(0).msg();
    }

    private void tick(final long ms, final int master, final long epoch) {
        now += ms;
        masters(master, epoch);
        forwarder.tick(now);
        obey();
    }

    private void reply(final int from, final long id, final int outcome) {
        forwarder.reply(from, new PublishReply(id, outcome, 9, 0, 1, "why"), now);
        obey();
    }

    private List<Integer> statuses() {
        return responses.stream().map(r -> r.response().status()).toList();
    }

    private void untilItsTimeIsUp(final int master, final long epoch) {
        for (int i = 0; i < 1_000 && responses.isEmpty(); i++) {
            tick(TEMPO.tick(), master, epoch);
        }
    }

    @Test
    public void afterSilenceNothingIsSentAgainAndTheEndIsUnknown() {
        masters(ONE, 1);
        publish();
        untilItsTimeIsUp(ONE, 1);
        assertEquals(sent.size(), 1, "sent again to a node that may have it");
        assertEquals(statuses(), List.of(504));
    }

    @Test
    public void lateWordThatAnEarlierAttemptNeverLeftSaysNothingOfThisOne() {
        masters(ONE, 1);
        final Publish first = publish();
        tick(TEMPO.tick(), TWO, 2);
        assertEquals(sent.stream().map(Action.Send::node).toList(), List.of(ONE, TWO));
        forwarder.unsent(ONE, first, now);
        untilItsTimeIsUp(TWO, 2);
        assertEquals(sent.size(), 2, "sent again while it was under way");
        assertEquals(statuses(), List.of(504));
    }

    @Test
    public void refusedAfterAnAttemptWhoseEndIsUnknownIsUnknown() {
        masters(ONE, 1);
        final Publish first = publish();
        forwarder.sessionLost(ONE, now);
        tick(TEMPO.beat(), ONE, 1);
        assertEquals(sent.size(), 2);
        reply(ONE, first.jobId(), PublishReply.REFUSED_FOR_GOOD);
        assertEquals(statuses(), List.of(504), "what may lie in a log was refused for certain");
    }

    @Test
    public void refusedAtTheOnlyAttemptIsRefused() {
        masters(ONE, 1);
        final Publish first = publish();
        reply(ONE, first.jobId(), PublishReply.REFUSED_FOR_GOOD);
        assertEquals(statuses(), List.of(409));
    }

    @Test
    public void acceptedByAnEarlierMasterIsAcceptedOnce() {
        masters(ONE, 1);
        final Publish first = publish();
        tick(TEMPO.tick(), TWO, 2);
        reply(ONE, first.jobId(), PublishReply.ACCEPTED);
        reply(TWO, first.jobId(), PublishReply.ACCEPTED);
        reply(TWO, first.jobId(), PublishReply.UNSETTLED);
        assertEquals(statuses(), List.of(200));
    }

    @Test
    public void aRefusalOfAnEarlierMasterLeavesTheNewAttemptAlone() {
        masters(ONE, 1);
        final Publish first = publish();
        tick(TEMPO.tick(), TWO, 2);
        reply(ONE, first.jobId(), PublishReply.NOT_MASTER);
        reply(ONE, first.jobId(), PublishReply.BUSY);
        tick(TEMPO.beat(), TWO, 2);
        assertEquals(sent.size(), 2, "sent again while it was under way");
        assertTrue(responses.isEmpty());
        reply(TWO, first.jobId(), PublishReply.ACCEPTED);
        assertEquals(statuses(), List.of(200));
    }

    @Test
    public void aReplyToAnotherLifeSettlesNothing() {
        masters(ONE, 1);
        final Publish first = publish();
        reply(ONE, first.jobId() - 1, PublishReply.ACCEPTED);
        reply(ONE, first.jobId() + 1, PublishReply.REFUSED_FOR_GOOD);
        assertTrue(responses.isEmpty());
        assertEquals(first.jobId(), FIRST_ID + 1);
    }
}
