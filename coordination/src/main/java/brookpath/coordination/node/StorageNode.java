package brookpath.coordination.node;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.MembershipDriver;
import brookpath.coordination.group.MoveOrder;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.PeerMessage.Fetch;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.PeerMessage.ListenerCountRequest;
import brookpath.coordination.message.PeerMessage.ListenerReport;
import brookpath.coordination.message.PeerMessage.Publish;
import brookpath.coordination.message.PeerMessage.Pull;
import brookpath.coordination.message.PeerMessage.PullReply;
import brookpath.coordination.message.PeerMessage.TimeoutNow;
import brookpath.coordination.message.PeerMessage.VoteReply;
import brookpath.coordination.message.PeerMessage.VoteRequest;
import brookpath.coordination.message.Response;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.storage.FetchHandler;
import brookpath.coordination.node.storage.GracefulShutdown;
import brookpath.coordination.node.storage.GroupStateReporter;
import brookpath.coordination.node.storage.HistoryMemory;
import brookpath.coordination.node.storage.HistoryRetention;
import brookpath.coordination.node.storage.ListenerCounts;
import brookpath.coordination.node.storage.PendingPublishes;
import brookpath.coordination.node.storage.PublishAdmission;
import brookpath.coordination.node.storage.TopicGroups;
import brookpath.coordination.node.storage.UsageWindowReporter;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A storage node of the data plane: a member of topic groups. It dispatches each event to the part that handles it (see
 * the package {@code storage}), and after each event of a group completes what that event has made possible.
 */
public final class StorageNode extends Node {

    private final int toleratedLosses;
    private final long seed;
    /** The size of a log segment in bytes beyond which a new one begins. */
    private long rollBytes;

    private final ConfigurationClient client;
    private final HistoryRetention retention;
    private final TopicGroups groups;
    private final PendingPublishes pendingPublishes;
    private final HistoryMemory history;
    private final PublishAdmission publishes;
    private final FetchHandler fetches;
    private final ListenerCounts listenerCounts;
    private final MembershipDriver membershipDriver;
    private final GroupStateReporter groupReporter;
    private final UsageWindowReporter usageReporter;
    private final GracefulShutdown shutdown;
    private boolean recovered;

    /**
     * @param info this process's node number, zone and address as peers see them
     * @param seeds the controllers that are polled first
     * @param toleratedLosses how many replicas of a group may be lost without the loss of a committed record
     * @param seed for the random election timeouts of the groups
     * @param firstId request IDs begin after it; it differs in each incarnation
     * @param rollBytes the size of a log segment in bytes beyond which a new one begins
     * @param maxLogMemoryBytes the size of all logs in memory beyond which nothing new is accepted
     */
    public StorageNode(
            final NodeInfo info,
            final List<Integer> seeds,
            final TimingBounds timing,
            final int toleratedLosses,
            final long seed,
            final long firstId,
            final long rollBytes,
            final long maxLogMemoryBytes) {
        super(info.node(), timing);
        this.toleratedLosses = toleratedLosses;
        this.seed = seed;
        this.rollBytes = rollBytes;
        client = new ConfigurationClient(info, ConfigurationPoll.STORAGE, seeds, firstId, timing, out);
        retention = new HistoryRetention(client, timing);
        groups = new TopicGroups(self, this::newGroup, client, out);
        pendingPublishes = new PendingPublishes(timing, out);
        history = new HistoryMemory(groups, maxLogMemoryBytes);
        publishes = new PublishAdmission(groups, client, pendingPublishes, history, out);
        fetches = new FetchHandler(groups, client, timing, out);
        listenerCounts = new ListenerCounts(timing, out);
        membershipDriver = new MembershipDriver(self, timing);
        groupReporter = new GroupStateReporter(groups, client, timing, out);
        usageReporter = new UsageWindowReporter(client, timing, out);
        shutdown = new GracefulShutdown(out);
    }

    private GroupMachine newGroup(final int id) {
        final GroupMachine group = new GroupMachine(
                id,
                self,
                timing,
                toleratedLosses,
                seed,
                () -> new TopicState(retention, timing.windowMs()),
                promises,
                out);
        group.startedAt(startedAt);
        return group;
    }

    /** The client with this node's replicas of the configuration and the cluster metadata. */
    public ConfigurationClient client() {
        return client;
    }

    /** This node's replica of a group; null where it has none. */
    public GroupMachine group(final int id) {
        return groups.get(id);
    }

    // ---- log

    @Override
    public void replay(final byte[] entry, final Time time) {
        groups.replay(entry, time.mono());
    }

    @Override
    protected void onSynced(final long number, final Time time) {
        for (final GroupMachine group : groups.all()) {
            group.synced(number, time.mono());
            onGroupChanged(group, time.mono());
        }
    }

    @Override
    protected void rollLog(final Time time) {
        groups.rollLog(time.mono());
    }

    // ---- timers

    @Override
    protected void onTick(final Time time) {
        final long now = time.mono();
        if (!recovered) {
            recovered = true;
            reportStartupMilestone("recovered " + groups.describe(), now);
            reconfigure(now);
        }
        client.tick(time);
        for (final GroupMachine group : groups.all()) {
            group.tick(now, table);
            onGroupChanged(group, now);
            groupReporter.reportFounded(group, now);
            usageReporter.closeEndedWindows(group, time);
            usageReporter.report(group, now);
        }
        reportFullHistory();
        shutdown.tick(groups.all(), now);
        if (out.bytesSinceRoll() > rollBytes) {
            rollLog(time);
        }
    }

    @Override
    public long maxTickDelayMs(final Time time) {
        final boolean calm = !shutdown.isUnderWay()
                && client.leased(time.mono())
                && groups.all().stream().allMatch(GroupMachine::isIdle);
        return calm ? timing.heartbeat() / 2 : timing.tick();
    }

    // ---- messages

    @Override
    protected void onMessage(final int from, final PeerMessage peerMessage, final Time time) {
        final long now = time.mono();
        if (peerMessage instanceof ConfigurationReply reply) {
            if (client.onReply(reply, time)) {
                reconfigure(now);
            }
        } else if (peerMessage instanceof VoteRequest message) {
            onGroupMessage(message.group(), from, message, now);
        } else if (peerMessage instanceof VoteReply message) {
            onGroupMessage(message.group(), from, message, now);
        } else if (peerMessage instanceof Pull message) {
            onGroupMessage(message.group(), from, message, now);
        } else if (peerMessage instanceof PullReply message) {
            onGroupMessage(message.group(), from, message, now);
        } else if (peerMessage instanceof TimeoutNow message) {
            onGroupMessage(message.group(), from, message, now);
        } else if (peerMessage instanceof ControlRequest request) {
            onControlRequest(request, now);
        } else if (peerMessage instanceof ControlReply reply) {
            usageReporter.acknowledged(reply);
        } else {
            onGatewayMessage(from, peerMessage, time);
        }
    }

    private void onGroupMessage(final int id, final int from, final PeerMessage message, final long now) {
        final GroupMachine group = groups.get(id);
        if (group != null) {
            group.on(from, message, now);
            onGroupChanged(group, now);
            reportFullHistory();
        }
    }

    /** Notifies the leaders of this node's groups at once where they have to stop appending. */
    private void reportFullHistory() {
        if (history.update()) {
            out.note("the history in memory has reached its limit");
            out.heartbeatNow();
        }
    }

    private void onControlRequest(final ControlRequest request, final long now) {
        final ControlRequestKind kind = ControlRequestKind.of(request.kind());
        if (kind == ControlRequestKind.MOVE) {
            moveReplica(MoveOrder.load(request.body()), now);
        } else if (kind == ControlRequestKind.HANDOVER) {
            transferLeadership(PackedBuffer.reader(request.body()), now);
        }
    }

    /** Carries out an order to move a replica; the control leader repeats it until the move is complete. */
    private void moveReplica(final MoveOrder order, final long now) {
        final GroupMachine group = groups.get(order.group());
        if (group != null) {
            membershipDriver.order(order, group, now);
            onGroupChanged(group, now);
        }
    }

    private void transferLeadership(final PackedBuffer body, final long now) {
        final GroupMachine group = groups.get((int) body.getLong());
        if (group != null) {
            final int successor = (int) body.getLong();
            group.transferLeadership(successor, now);
        }
    }

    private void onGatewayMessage(final int gateway, final PeerMessage peerMessage, final Time time) {
        final long now = time.mono();
        if (peerMessage instanceof Publish message) {
            if (publishes.admit(gateway, message, time)) {
                onGroupChanged(groups.get(message.group()), now);
                reportFullHistory();
            }
        } else if (peerMessage instanceof Fetch message) {
            fetches.fetch(gateway, message, now);
        } else if (peerMessage instanceof ListenerReport report) {
            listenerCounts.report(gateway, report, now);
        } else if (peerMessage instanceof ListenerCountRequest request) {
            listenerCounts.answer(gateway, request, groups.get(request.group()), now);
        }
    }

    private void reconfigure(final long now) {
        for (final int dropped : groups.reconfigure(client.metadata(), now)) {
            pendingPublishes.drop(dropped);
            fetches.drop(dropped);
        }
    }

    /** Completes what a change of the group's commit index, role or membership has made possible. */
    private void onGroupChanged(final GroupMachine group, final long now) {
        pendingPublishes.resolve(group, now);
        fetches.servePending(group, now);
        if (membershipDriver.drive(group, table, now, client.wall(new Time(now, 0)))) {
            out.heartbeatNow();
        }
        groupReporter.reportMembership(group, now);
    }

    @Override
    protected void onUnsent(final int to, final PeerMessage message, final Time time) {
        if (message instanceof ConfigurationPoll) {
            client.unsent(to, time.mono());
        }
    }

    @Override
    protected void onSessionLost(final int node, final Time time) {
        client.unsent(node, time.mono());
        groups.all().forEach(group -> group.connectionLost(node));
    }

    // ---- requests

    @Override
    protected void onRequest(final NodeRequest nodeRequest, final Time time) {
        if (nodeRequest instanceof NodeRequest.UpdateSettings request) {
            rollBytes = request.rollBytes();
        } else if (nodeRequest instanceof NodeRequest.GracefulShutdown request) {
            shutdown.begin(request.requestId());
        } else if (nodeRequest instanceof NodeRequest.Status request) {
            out.respond(request.requestId(), new Response(OK, 0, statusJson(time)));
        } else if (nodeRequest instanceof NodeRequest.ReadinessProbe request) {
            out.respond(request.requestId(), ReadinessProbe.response(client.leased(time.mono()), client.draining()));
        }
    }

    // ---- heartbeats and status page

    @Override
    public List<HeartbeatEntry> entries(final Time time) {
        return groups.heartbeatEntries(time.mono());
    }

    @Override
    public boolean historyFull() {
        return history.isFull();
    }

    @Override
    public Set<Integer> heartbeatPeers() {
        return groups.peers();
    }

    @Override
    public Map<Integer, String> zones() {
        return zonesOf(client.metadata());
    }

    @Override
    public String statusJson(final Time time) {
        return StorageStatus.page(self, client, groups.all(), table, time.mono());
    }
}
