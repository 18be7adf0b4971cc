package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.message.PeerMessage.Heartbeat;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.PeerMessage.Publish;
import brookpath.coordination.message.PeerMessage.PublishReply;
import brookpath.coordination.message.PublishOutcome;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.gateway.PublishForwarder;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a reply to one attempt of a publish says of the others. */
public final class PublishForwarderTest {
    private static final TimingBounds TIMING = TimingBounds.DEFAULT;
    private static final int GROUP = 0;
    private static final int ONE = 11;
    private static final int TWO = 12;
    private static final long FIRST_ID = 5_000;
    private static final ClusterMetadata METADATA = new ClusterMetadata(
            1,
            List.of(),
            List.of(new GroupInfo(
                    GROUP,
                    true,
                    new Membership(1, List.of(new Member(ONE, 50, "a"), new Member(TWO, 40, "b")), List.of()))),
            List.of());

    private Actions out;
    private HeartbeatMonitor heartbeats;
    private PublishForwarder forwarder;
    private long ids;
    private long now;
    private final List<Action.Send> sent = new ArrayList<>();
    private final List<Action.Respond> responses = new ArrayList<>();

    @BeforeMethod
    public void begin() {
        out = new Actions();
        heartbeats = new HeartbeatMonitor(TIMING, TIMING.heartbeat(), new HeartbeatPromises(TIMING.detectionTime()));
        heartbeats.setPeers(Set.of(ONE, TWO));
        ids = FIRST_ID;
        now = 1_000;
        sent.clear();
        responses.clear();
        forwarder = new PublishForwarder(
                TIMING,
                time -> new RouteFinder(Configuration.NONE, METADATA, heartbeats.table(), true, "a", TIMING),
                () -> ++ids,
                out);
    }

    private void leaders(final int node, final long term) {
        final HeartbeatEntry entry =
                new HeartbeatEntry(GROUP, 1, term, HeartbeatEntry.LEADER, 0, 1, 1, term, 1, node, 50);
        final Actions round = new Actions();
        heartbeats.heartbeatNow(now, round);
        final Heartbeat asked = round.drain().stream()
                .filter(a -> a instanceof Action.Send s && s.node() == node)
                .map(a -> (Heartbeat) ((Action.Send) a).message())
                .findFirst()
                .orElseThrow();
        heartbeats.onHeartbeat(node, new Heartbeat(true, asked.id(), now, 0, false, List.of(entry)), now, round);
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
                new NodeRequest.Publish(1, "key", "topic", "ana", 7, "text"),
                new Route(null, "tenant", GROUP, 0, ""),
                1,
                0,
                now);
        obey();
        assertEquals(sent.size(), 1);
        return (Publish) sent.get(0).message();
    }

    private void tick(final long ms, final int leader, final long term) {
        now += ms;
        leaders(leader, term);
        forwarder.tick(now);
        obey();
    }

    private void reply(final int from, final long id, final PublishOutcome outcome) {
        forwarder.reply(from, new PublishReply(id, outcome, 9, 0, 1, "why"), now);
        obey();
    }

    private List<Integer> statuses() {
        return responses.stream().map(r -> r.response().status()).toList();
    }

    private void untilItsTimeIsUp(final int leader, final long term) {
        for (int i = 0; i < 1_000 && responses.isEmpty(); i++) {
            tick(TIMING.tick(), leader, term);
        }
    }

    @Test
    public void afterSilenceNothingIsSentAgainAndTheEndIsUnknown() {
        leaders(ONE, 1);
        publish();
        untilItsTimeIsUp(ONE, 1);
        assertEquals(sent.size(), 1, "sent again to a node that may have it");
        assertEquals(statuses(), List.of(504));
    }

    @Test
    public void lateWordThatAnEarlierAttemptNeverLeftSaysNothingOfThisOne() {
        leaders(ONE, 1);
        final Publish first = publish();
        tick(TIMING.tick(), TWO, 2);
        assertEquals(sent.stream().map(Action.Send::node).toList(), List.of(ONE, TWO));
        forwarder.unsent(ONE, first, now);
        untilItsTimeIsUp(TWO, 2);
        assertEquals(sent.size(), 2, "sent again while it was under way");
        assertEquals(statuses(), List.of(504));
    }

    @Test
    public void refusedAfterAnAttemptWhoseEndIsUnknownIsUnknown() {
        leaders(ONE, 1);
        final Publish first = publish();
        forwarder.sessionLost(ONE, now);
        tick(TIMING.heartbeat(), ONE, 1);
        assertEquals(sent.size(), 2);
        reply(ONE, first.requestId(), PublishOutcome.REFUSED_FOR_GOOD);
        assertEquals(statuses(), List.of(504), "what may lie in a log was refused for certain");
    }

    @Test
    public void refusedAtTheOnlyAttemptIsRefused() {
        leaders(ONE, 1);
        final Publish first = publish();
        reply(ONE, first.requestId(), PublishOutcome.REFUSED_FOR_GOOD);
        assertEquals(statuses(), List.of(409));
    }

    @Test
    public void committedByAnEarlierLeaderIsCommittedOnce() {
        leaders(ONE, 1);
        final Publish first = publish();
        tick(TIMING.tick(), TWO, 2);
        reply(ONE, first.requestId(), PublishOutcome.ACCEPTED);
        reply(TWO, first.requestId(), PublishOutcome.ACCEPTED);
        reply(TWO, first.requestId(), PublishOutcome.UNSETTLED);
        assertEquals(statuses(), List.of(200));
    }

    @Test
    public void aRefusalOfAnEarlierLeaderLeavesTheNewAttemptAlone() {
        leaders(ONE, 1);
        final Publish first = publish();
        tick(TIMING.tick(), TWO, 2);
        reply(ONE, first.requestId(), PublishOutcome.NOT_LEADER);
        reply(ONE, first.requestId(), PublishOutcome.BUSY);
        tick(TIMING.heartbeat(), TWO, 2);
        assertEquals(sent.size(), 2, "sent again while it was under way");
        assertTrue(responses.isEmpty());
        reply(TWO, first.requestId(), PublishOutcome.ACCEPTED);
        assertEquals(statuses(), List.of(200));
    }

    @Test
    public void aReplyToAnotherLifeSettlesNothing() {
        leaders(ONE, 1);
        final Publish first = publish();
        reply(ONE, first.requestId() - 1, PublishOutcome.ACCEPTED);
        reply(ONE, first.requestId() + 1, PublishOutcome.REFUSED_FOR_GOOD);
        assertTrue(responses.isEmpty());
        assertEquals(first.requestId(), FIRST_ID + 1);
    }
}
