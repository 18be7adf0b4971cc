package brookpath.coordination.node;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.control.ControlLeader;
import brookpath.coordination.node.control.ControlResponder;
import brookpath.coordination.node.control.ControlStatus;
import brookpath.coordination.node.control.ControlView;
import brookpath.coordination.node.control.ForwardedPolls;
import brookpath.coordination.node.control.ForwardedRequests;
import brookpath.coordination.node.control.GroupBootstrap;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.PackedBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A controller: a member of the control group, or an observer of it that forwards requests and polls.
 * {@link ControlLeader} carries out the duties of the leader.
 */
public final class ControllerNode extends Node {
    /** The ID of the control group; the IDs of topic groups start at 0. */
    public static final int CONTROL_GROUP = 1_000_000;

    private static final int NO_REQUEST = 0;

    private final GroupBootstrap bootstrap;
    /** The control group's initial members according to the settings; ignored once the log contains a membership. */
    private final List<Member> founders;

    /** Polls the control leader while this controller is not the leader itself. */
    private final ConfigurationClient client;

    private final GroupMachine group;
    private final ControlView view;
    private final ControlResponder responder;
    private final ForwardedRequests forwarded;
    private final ForwardedPolls forwardedPolls;
    private final ControlLeader leader;
    /** The log size in bytes beyond which it is replaced by a checkpoint. */
    private long rollBytes;

    private long lastId;
    /** Whether the newest configuration of the log was encoded for the processes that will poll. */
    private boolean configurationPrepared;
    /** The request that is answered once the graceful shutdown is complete, {@link #NO_REQUEST} for none. */
    private long pendingShutdown = NO_REQUEST;

    /** A controller without zone and address whose seeds are the founders; see the other constructor. */
    public ControllerNode(
            final int self,
            final List<Member> founders,
            final GroupBootstrap bootstrap,
            final TimingBounds timing,
            final long seed,
            final long firstId,
            final long rollBytes) {
        this(
                new NodeInfo(self, "", ""),
                founders,
                founders.stream().map(Member::node).toList(),
                bootstrap,
                timing,
                seed,
                firstId,
                rollBytes);
    }

    /**
     * @param info this controller's node number, zone and address as peers see them
     * @param founders the control group's initial members; empty where the settings name none
     * @param seeds controllers that may be polled, members or not
     * @param seed for the random election timeouts
     * @param firstId request IDs begin after it; it differs in each incarnation, so that a reply to an earlier
     *     incarnation matches no request
     * @param rollBytes the log size in bytes beyond which it is replaced by a checkpoint
     */
    public ControllerNode(
            final NodeInfo info,
            final List<Member> founders,
            final List<Integer> seeds,
            final GroupBootstrap bootstrap,
            final TimingBounds timing,
            final long seed,
            final long firstId,
            final long rollBytes) {
        super(info.node(), timing);
        this.bootstrap = bootstrap;
        this.rollBytes = rollBytes;
        this.founders = founders;
        lastId = firstId;
        group = new GroupMachine(
                CONTROL_GROUP, self, timing, bootstrap.toleratedLosses(), seed, ControlState::new, promises, out);
        view = new ControlView(group);
        responder = new ControlResponder(self, timing, out);
        forwarded = new ForwardedRequests(timing, responder, this::nextId, out);
        forwardedPolls = new ForwardedPolls(group, out);
        leader = new ControlLeader(info, group, view, bootstrap, timing, responder, this::nextId, out);
        client = new ConfigurationClient(info, ConfigurationPoll.CONTROLLER, seeds, firstId, timing, out);
    }

    private long nextId() {
        return ++lastId;
    }

    /** This controller's replica of the control group. */
    public GroupMachine group() {
        return group;
    }

    /**
     * Starts the controller after its log was replayed. {@code found} is set only if the operator founds the control
     * group with this start.
     */
    public List<Action> start(final boolean found, final Time time) {
        group.startedAt(startedAt);
        if (found) {
            group.found();
        }
        // A controller that neither the founders nor the log name is not a member: it forwards requests and polls, and
        // may be added to the membership later
        if (founders.stream().anyMatch(m -> m.node() == self)
                || group.membership().holds(self)) {
            group.configure(founders, 1, true, time.mono());
        }
        // All controllers in the settings may have been replaced, but the log names their successors
        client.addControllers(view.newestMetadata().controllers());
        return out.drain();
    }

    /** The known addresses of the other controllers, by node number. */
    public Map<Integer, String> addresses() {
        final Map<Integer, String> map = new TreeMap<>();
        for (final ClusterMetadata metadata : List.of(view.newestMetadata(), client.metadata())) {
            metadata.controllers().forEach(n -> map.put(n.node(), n.address()));
        }
        map.remove(self);
        return map;
    }

    /** The node number of the control leader; 0 where none is known or this controller is the leader. */
    private int controlLeader(final long now) {
        final int heard = group.leaderHeard();
        return heard != 0 ? heard == self ? 0 : heard : client.leaderHeard(now);
    }

    /**
     * The controller that requests are forwarded to, 0 for none. A member of the control group detects a lost leader by
     * the heartbeats and refuses at once; the lease from a poll would make it wait for a leader that it cannot reach.
     */
    private int leaderForRequests(final long now) {
        if (!group.membership().holds(self)) {
            return controlLeader(now);
        }
        final int heard = group.leaderHeard();
        return heard == self ? 0 : heard;
    }

    @Override
    public void replay(final byte[] entry, final Time time) {
        final PackedBuffer in = PackedBuffer.reader(entry);
        in.getLong();
        group.replay(in, time.mono());
    }

    // ---- events

    @Override
    protected void onTick(final Time time) {
        final long now = time.mono();
        if (!configurationPrepared) {
            // Parsing takes long right after the start and would delay the replies to the first polls; a member that
            // has just started is idle until it may vote
            configurationPrepared = true;
            view.newestConfiguration().packed();
        }
        group.tick(now, table);
        leader.recordMemberResponsiveness(table, now);
        leader.afterEvent(table, time);
        if (group.role() != GroupMachine.LEADER) {
            client.tick(time);
        }
        if (pendingShutdown != NO_REQUEST && group.withdraw(now)) {
            out.respond(pendingShutdown, new Response(ResponseStatus.OK, 0, "{}"));
            pendingShutdown = NO_REQUEST;
        }
        if (group.mayAct(now)) {
            leader.tick(time);
        }
        forwarded.tick(now);
        if (out.bytesSinceRoll() > rollBytes) {
            rollLog(time);
        }
    }

    @Override
    protected void rollLog(final Time time) {
        final ChunkedBuffer buffer = new ChunkedBuffer();
        group.checkpoint(time.mono()).forEach(buffer::putBytes);
        out.roll(buffer);
    }

    @Override
    protected void onSynced(final long number, final Time time) {
        group.synced(number, time.mono());
        leader.afterEvent(table, time);
    }

    @Override
    protected void onMessage(final int from, final PeerMessage message, final Time time) {
        final long now = time.mono();
        if (message instanceof ConfigurationPoll poll) {
            onPoll(from, poll, time);
        } else if (message instanceof ConfigurationReply reply) {
            onConfigurationReply(reply, time);
        } else if (message instanceof ControlRequest request) {
            // A request is forwarded at most once, so that two controllers cannot forward it to each other in a loop
            if (isPeer(from) || group.mayAct(now) || !forwarded.forward(from, request, leaderForRequests(now), now)) {
                leader.onRequest(from, request, time);
            }
        } else if (message instanceof ControlReply reply) {
            forwarded.onReply(from, reply, now);
        } else {
            group.on(from, message, now);
            leader.afterEvent(table, time);
        }
    }

    private void onPoll(final int from, final ConfigurationPoll poll, final Time time) {
        final long now = time.mono();
        if (group.mayAct(now)) {
            leader.onPoll(from, poll, time);
        } else {
            forwardedPolls.forwardOrRedirect(from, poll, controlLeader(now));
        }
    }

    private void onConfigurationReply(final ConfigurationReply reply, final Time time) {
        if (reply.node() != self) {
            forwardedPolls.onReply(reply);
        } else if (client.onReply(reply, time)) {
            adoptMembership(time.mono());
        }
    }

    /**
     * Adopts a newer control group membership from the cluster metadata that adds, keeps or removes this controller.
     */
    private void adoptMembership(final long now) {
        final Membership control = client.metadata().control();
        final boolean isOrWasMember = control.holds(self) || group.membership().holds(self);
        if (isOrWasMember && control.version() > group.membership().version()) {
            group.configure(control, true, now);
        }
    }

    @Override
    protected void onUnsent(final int to, final PeerMessage message, final Time time) {
        if (message instanceof ConfigurationPoll poll) {
            if (poll.node() == self) {
                client.unsent(to, time.mono());
            }
            forwardedPolls.onUnsent(poll);
        } else if (message instanceof ControlRequest request) {
            forwarded.unsent(request);
        }
    }

    @Override
    protected void onSessionLost(final int node, final Time time) {
        client.unsent(node, time.mono());
        group.connectionLost(node);
        if (isPeer(node)) {
            forwardedPolls.onSessionLost();
        }
        forwarded.connectionLost(node);
    }

    @Override
    public long maxTickDelayMs(final Time time) {
        final boolean busy = pendingShutdown != NO_REQUEST || leader.hasPendingRequests() || !forwarded.isEmpty();
        // A controller outside the control group has nothing in flight but forwarded requests
        return !busy && (group.isIdle() || !group.membership().holds(self)) ? timing.heartbeat() / 2 : timing.tick();
    }

    @Override
    protected void onRequest(final NodeRequest request, final Time time) {
        final long now = time.mono();
        if (request instanceof NodeRequest.UpdateSettings settings) {
            rollBytes = settings.rollBytes();
        } else if (request instanceof NodeRequest.Posted posted) {
            leader.onPosted(posted, time);
        } else if (request instanceof NodeRequest.Status status) {
            out.respond(status.requestId(), new Response(ResponseStatus.OK, 0, statusJson(time)));
        } else if (request instanceof NodeRequest.ReadinessProbe probe) {
            final boolean ready = group.mayAct(now) || controlLeader(now) != 0;
            out.respond(probe.requestId(), ReadinessProbe.response(ready, false));
        } else if (request instanceof NodeRequest.GracefulShutdown shutdown) {
            pendingShutdown = shutdown.requestId();
        } else if (request instanceof NodeRequest.Operate operate) {
            onOperate(operate, time);
        }
    }

    private void onOperate(final NodeRequest.Operate operate, final Time time) {
        final long now = time.mono();
        final ControlRequest request = operate.kind().request(operate.requestId(), operate.body());
        if (group.mayAct(now)) {
            leader.onRequest(self, request, time);
        } else if (!forwarded.forward(self, request, leaderForRequests(now), now)) {
            out.respond(operate.requestId(), responder.unavailable("the control group has no leader at present"));
        }
    }

    private boolean isPeer(final int node) {
        return group.membership().holds(node)
                || view.metadata().controllers().stream().anyMatch(c -> c.node() == node)
                || client.metadata().controllers().stream().anyMatch(c -> c.node() == node);
    }

    // ---- heartbeats and status page

    @Override
    public List<HeartbeatEntry> entries(final Time time) {
        return group.membership().holds(self) ? List.of(group.entry(time.mono())) : List.of();
    }

    @Override
    public Set<Integer> heartbeatPeers() {
        final Set<Integer> nodes = new HashSet<>();
        if (group.membership().holds(self)) {
            group.membership().voters().forEach(m -> nodes.add(m.node()));
            group.membership().learners().forEach(m -> nodes.add(m.node()));
        }
        nodes.remove(self);
        return nodes;
    }

    @Override
    public Map<Integer, String> zones() {
        final Map<Integer, String> zones = zonesOf(view.metadata());
        leader.addZones(zones);
        return zones;
    }

    @Override
    public String statusJson(final Time time) {
        return ControlStatus.json(self, view, bootstrap, GroupStatus.json(group, table, time.mono()));
    }
}
