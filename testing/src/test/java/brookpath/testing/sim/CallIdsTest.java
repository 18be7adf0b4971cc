package brookpath.testing.sim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.heartbeat.HeartbeatTable;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.GatewayNode;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.gateway.SessionOverflow;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import org.testng.annotations.Test;

/**
 * A reply forwarded by another node may arrive after the requesting process has restarted, and must then be ignored.
 */
public final class CallIdsTest {
    private static final NodeInfo GATEWAY = new NodeInfo(31, "a", "sim:31", "", 31);
    private static final List<Integer> SEEDS = List.of(1, 2, 3);
    private static final long EARLIER_FIRST_ID = 1L << 40;
    private static final long FIRST_ID = 1L << 50;
    private static final Time NOW = new Time(10_000, 10_000);

    private static GatewayNode incarnation(final long firstId) {
        return new GatewayNode(GATEWAY, SEEDS, TimingBounds.DEFAULT, SessionOverflow.NONE, firstId);
    }

    private static ConfigurationPoll poll(final GatewayNode gateway) {
        return gateway.tick(NOW, HeartbeatTable.EMPTY).stream()
                .filter(a -> a instanceof Action.Send s && s.message() instanceof ConfigurationPoll)
                .map(a -> (ConfigurationPoll) ((Action.Send) a).message())
                .findFirst()
                .orElseThrow();
    }

    private static ConfigurationReply grant(final ConfigurationPoll poll) {
        return new ConfigurationReply(
                poll.pollId(), true, 1, 1, 0, new byte[0], 0, new byte[0], GATEWAY.node(), NOW.wall());
    }

    @Test
    public void replyToAnEarlierIncarnationGrantsNoLease() {
        final ConfigurationPoll earlier = poll(incarnation(EARLIER_FIRST_ID));
        final GatewayNode gateway = incarnation(FIRST_ID);
        final ConfigurationPoll current = poll(gateway);
        assertNotEquals(current.pollId(), earlier.pollId());
        gateway.message(2, grant(earlier), NOW);
        assertFalse(gateway.client().leased(NOW.mono()), "the reply to an earlier incarnation's poll granted a lease");
        gateway.message(2, grant(current), NOW);
        assertTrue(gateway.client().leased(NOW.mono()));
    }

    @Test
    public void addressesThatAnEarlierIncarnationRequestedAreIgnored() {
        final SimulatedProcess process = ServingCluster.start(81).processes.get(31);
        final GatewayNode gateway = (GatewayNode) process.node;
        final byte[] elsewhere = PackedBuffer.writer()
                .putLong(1)
                .putLong(32)
                .putString("a")
                .putString("gone:1")
                .toByteArray();
        final ControlRequest request = gateway.request(new NodeRequest.Drain(1, true), process.time()).stream()
                .filter(a -> a instanceof Action.Send s && s.message() instanceof ControlRequest)
                .map(a -> (ControlRequest) ((Action.Send) a).message())
                .findFirst()
                .orElseThrow();
        gateway.message(2, new ControlReply(0, 200, 0, elsewhere), process.time());
        gateway.message(2, new ControlReply(request.requestId() - 1, 200, 0, elsewhere), process.time());
        assertEquals(redirectAddress(gateway, process), "", "redirected by the reply to another request");
        gateway.message(2, new ControlReply(request.requestId(), 200, 0, elsewhere), process.time());
        assertEquals(redirectAddress(gateway, process), "gone:1");
    }

    private static String redirectAddress(final GatewayNode gateway, final SimulatedProcess process) {
        return gateway.request(new NodeRequest.Open(7, "key-members"), process.time()).stream()
                .filter(a -> a instanceof Action.MoveSession)
                .map(a -> ((Action.MoveSession) a).address())
                .findFirst()
                .orElseThrow();
    }
}
