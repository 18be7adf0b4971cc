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

/** A reply to one attempt of a publish, or its failure, must not be taken for the outcome of another attempt. */
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
    public void setUp() {
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

    private void announceLeader(final int node, final long term) {
        final HeartbeatEntry entry =
                new HeartbeatEntry(GROUP, 1, term, HeartbeatEntry.LEADER, 0, 1, 1, term, 1, node, 50);
        final Actions actions = new Actions();
        heartbeats.heartbeatNow(now, actions);
        final Heartbeat request = actions.drain().stream()
                .filter(a -> a instanceof Action.Send s && s.node() == node)
                .map(a -> (Heartbeat) ((Action.Send) a).message())
                .findFirst()
                .orElseThrow();
        heartbeats.onHeartbeat(node, new Heartbeat(true, request.id(), now, 0, false, List.of(entry)), now, actions);
    }

    private void collectActions() {
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
        collectActions();
        assertEquals(sent.size(), 1);
        return (Publish) sent.get(0).message();
    }

    private void tick(final long ms, final int leader, final long term) {
        now += ms;
        announceLeader(leader, term);
        forwarder.tick(now);
        collectActions();
    }

    private void reply(final int from, final long id, final PublishOutcome outcome) {
        forwarder.reply(from, new PublishReply(id, outcome, 9, 0, 1, "why"), now);
        collectActions();
    }

    private List<Integer> statuses() {
        return responses.stream().map(r -> r.response().status()).toList();
    }

    private void tickUntilResponse(final int leader, final long term) {
        for (int i = 0; i < 1_000 && responses.isEmpty(); i++) {
            tick(TIMING.tick(), leader, term);
        }
    }

    @Test
    public void publishWithoutReplyIsNotRetriedAndEndsUnsettled() {
        announceLeader(ONE, 1);
        publish();
        tickUntilResponse(ONE, 1);
        assertEquals(sent.size(), 1, "retried with a node that may have received it");
        assertEquals(statuses(), List.of(504));
    }

    @Test
    public void lateFailureToSendAnEarlierAttemptDoesNotAffectTheCurrentOne() {
        announceLeader(ONE, 1);
        final Publish first = publish();
        tick(TIMING.tick(), TWO, 2);
        assertEquals(sent.stream().map(Action.Send::node).toList(), List.of(ONE, TWO));
        forwarder.unsent(ONE, first, now);
        tickUntilResponse(TWO, 2);
        assertEquals(sent.size(), 2, "retried while an attempt was in flight");
        assertEquals(statuses(), List.of(504));
    }

    @Test
    public void refusalAfterAnAttemptWithUnknownOutcomeIsUnsettled() {
        announceLeader(ONE, 1);
        final Publish first = publish();
        forwarder.connectionLost(ONE, now);
        tick(TIMING.heartbeat(), ONE, 1);
        assertEquals(sent.size(), 2);
        reply(ONE, first.requestId(), PublishOutcome.REFUSED_FOR_GOOD);
        assertEquals(statuses(), List.of(504), "a publish that may be in a log was reported as refused");
    }

    @Test
    public void refusalOfTheOnlyAttemptIsFinal() {
        announceLeader(ONE, 1);
        final Publish first = publish();
        reply(ONE, first.requestId(), PublishOutcome.REFUSED_FOR_GOOD);
        assertEquals(statuses(), List.of(409));
    }

    @Test
    public void publishCommittedByAnEarlierLeaderIsReportedOnce() {
        announceLeader(ONE, 1);
        final Publish first = publish();
        tick(TIMING.tick(), TWO, 2);
        reply(ONE, first.requestId(), PublishOutcome.ACCEPTED);
        reply(TWO, first.requestId(), PublishOutcome.ACCEPTED);
        reply(TWO, first.requestId(), PublishOutcome.UNSETTLED);
        assertEquals(statuses(), List.of(200));
    }

    @Test
    public void refusalByAnEarlierLeaderDoesNotAffectTheCurrentAttempt() {
        announceLeader(ONE, 1);
        final Publish first = publish();
        tick(TIMING.tick(), TWO, 2);
        reply(ONE, first.requestId(), PublishOutcome.NOT_LEADER);
        reply(ONE, first.requestId(), PublishOutcome.BUSY);
        tick(TIMING.heartbeat(), TWO, 2);
        assertEquals(sent.size(), 2, "retried while an attempt was in flight");
        assertTrue(responses.isEmpty());
        reply(TWO, first.requestId(), PublishOutcome.ACCEPTED);
        assertEquals(statuses(), List.of(200));
    }

    @Test
    public void replyToAnotherRequestIdIsIgnored() {
        announceLeader(ONE, 1);
        final Publish first = publish();
        reply(ONE, first.requestId() - 1, PublishOutcome.ACCEPTED);
        reply(ONE, first.requestId() + 1, PublishOutcome.REFUSED_FOR_GOOD);
        assertTrue(responses.isEmpty());
        assertEquals(first.requestId(), FIRST_ID + 1);
    }
}
