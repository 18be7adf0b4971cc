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
import brookpath.state.record.PackedBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A machine of the control plane: a member of the control group, and its duties while it is the leader. */
public final class ControllerNode extends Node {
    /** The control group's number; topic groups count from 0. */
    public static final int CONTROL = 1_000_000;

    private static final int NO_REQUEST = 0;

    private final GroupBootstrap founding;
    /** Whom the settings name as the control group's founders; once the log tells of members, these count no more. */
    private final List<Member> founders;

    /** How a controller that is not the control leader hears of the cluster metadata, and the control leader of it. */
    private final ConfigurationClient client;

    private final GroupMachine group;
    private final ControlView view;
    private final ControlResponder responder;
    private final ForwardedRequests forwarded;
    private final ForwardedPolls forwardedPolls;
    private final ControlLeader leader;
    /** The log is rolled into a checkpoint beyond so many bytes. */
    private long rollBytes;

    private long lastId;
    /** The request that waits for this process's graceful shutdown, {@link #NO_REQUEST} for none. */
    private long retreat = NO_REQUEST;

    public ControllerNode(
            final int self,
            final List<Member> founders,
            final GroupBootstrap founding,
            final TimingBounds timing,
            final long seed,
            final long firstId,
            final long rollBytes) {
        this(
                new NodeInfo(self, "", ""),
                founders,
                founders.stream().map(Member::node).toList(),
                founding,
                timing,
                seed,
                firstId,
                rollBytes);
    }

    /**
     * @param info this controller as others see it
     * @param founders the control group's members at its founding; empty where the settings do not tell
     * @param seeds controllers that may be asked, members or not
     */
    public ControllerNode(
            final NodeInfo info,
            final List<Member> founders,
            final List<Integer> seeds,
            final GroupBootstrap founding,
            final TimingBounds timing,
            final long seed,
            final long firstId,
            final long rollBytes) {
        super(info.node(), timing);
        this.founding = founding;
        this.rollBytes = rollBytes;
        this.founders = founders;
        lastId = firstId;
        group = new GroupMachine(
                CONTROL, self, timing, founding.toleratedLosses(), seed, ControlState::new, promises, out);
        view = new ControlView(group);
        responder = new ControlResponder(self, timing, out);
        forwarded = new ForwardedRequests(timing, responder, this::nextId, out);
        forwardedPolls = new ForwardedPolls(group, out);
        leader = new ControlLeader(info, group, view, founding, timing, responder, this::nextId, out);
        client = new ConfigurationClient(info, ConfigurationPoll.CONTROLLER, seeds, firstId, timing, out);
    }

    private long nextId() {
        return ++lastId;
    }

    public GroupMachine group() {
        return group;
    }

    /** After replay: a first start that was asked for by the operator, or an ordinary one. */
    public List<Action> start(final boolean found, final Time time) {
        group.bornAt(bornAt);
        if (found) {
            group.found();
        }
        // One that no founder and no log names is no member; it forwards requests and polls, and a membership that
        // names it may come later
        if (founders.stream().anyMatch(m -> m.node() == self)
                || group.membership().holds(self)) {
            group.configure(founders, 1, true, time.mono());
        }
        // All that the settings name may be gone by now, but the log names others
        client.suggest(view.newestMetadata().controllers());
        return out.drain();
    }

    /** The addresses of the other controllers, as far as they are known. */
    public Map<Integer, String> addresses() {
        final Map<Integer, String> map = new TreeMap<>();
        for (final ClusterMetadata r : List.of(view.newestMetadata(), client.metadata())) {
            r.controllers().forEach(n -> map.put(n.node(), n.address()));
        }
        map.remove(self);
        return map;
    }

    /** The control leader as this controller sees it, 0 for none. */
    private int controlLeader(final long now) {
        final int heard = group.leaderHeard();
        return heard != 0 ? heard == self ? 0 : heard : client.leaderHeard(now);
    }

    /**
     * Whom requests are forwarded to, 0 for nobody. A member of the control group knows by the heartbeats that it has
     * lost its leader, and says so at once, where a lease from a poll would have it wait for one that it cannot reach.
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
        in.num();
        group.replay(in, time.mono());
    }

    // ---- events

    @Override
    protected void onTick(final Time time) {
        final long now = time.mono();
        group.tick(now, table);
        leader.watchMembers(table, now);
        leader.afterEvent(table, time);
        if (group.role() != GroupMachine.LEADER) {
            client.tick(time);
        }
        if (retreat != NO_REQUEST && group.retreat(now)) {
            out.respond(retreat, new Response(ResponseStatus.OK, 0, "{}"));
            retreat = NO_REQUEST;
        }
        if (group.mayAct(now)) {
            leader.tick(time);
        }
        forwarded.tick(now);
        if (out.bytesSinceRoll() > rollBytes) {
            onDamage(time);
        }
    }

    @Override
    protected void onDamage(final Time time) {
        final PackedBuffer buffer = PackedBuffer.writer();
        group.checkpoint().forEach(buffer::bytes);
        out.roll(buffer.done());
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
            // A request is forwarded once at most, so that no two controllers send it to and fro
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
            join(time.mono());
        }
    }

    /**
     * The cluster metadata may tell a newer membership than this controller's own log, if it has one: it joined, or
     * left.
     */
    private void join(final long now) {
        final Membership control = client.metadata().control();
        final boolean concerned = control.holds(self) || group.membership().holds(self);
        if (concerned && control.version() > group.membership().version()) {
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
        group.sessionLost(node);
        if (isPeer(node)) {
            forwardedPolls.onSessionLost();
        }
        forwarded.sessionLost(node);
    }

    @Override
    public long restMs(final Time time) {
        final boolean busy = retreat != NO_REQUEST || leader.hasPendingRequests() || !forwarded.isEmpty();
        // One that is no member of the control group has nothing in flight but what it forwards
        return !busy && (group.calm() || !group.membership().holds(self)) ? timing.heartbeat() / 2 : timing.tick();
    }

    @Override
    protected void onRequest(final NodeRequest request, final Time time) {
        final long now = time.mono();
        if (request instanceof NodeRequest.UpdateSettings adopt) {
            rollBytes = adopt.rollBytes();
        } else if (request instanceof NodeRequest.Posted posted) {
            leader.onPosted(posted, time);
        } else if (request instanceof NodeRequest.Status status) {
            out.respond(status.requestId(), new Response(ResponseStatus.OK, 0, statusJson(time)));
        } else if (request instanceof NodeRequest.ReadinessProbe probe) {
            final boolean ready = group.mayAct(now) || controlLeader(now) != 0;
            out.respond(probe.requestId(), ReadinessProbe.response(ready, false));
        } else if (request instanceof NodeRequest.GracefulShutdown shutdown) {
            retreat = shutdown.requestId();
        } else if (request instanceof NodeRequest.Operate operate) {
            onOperate(operate, time);
        }
    }

    private void onOperate(final NodeRequest.Operate operate, final Time time) {
        final long now = time.mono();
        final ControlRequest request = new ControlRequest(operate.requestId(), operate.kind(), operate.body());
        if (group.mayAct(now)) {
            leader.onRequest(self, request, time);
        } else if (!forwarded.forward(self, request, leaderForRequests(now), now)) {
            out.respond(operate.requestId(), responder.unavailable("the control group has no master just now"));
        }
    }

    private boolean isPeer(final int node) {
        return group.membership().holds(node)
                || view.metadata().controllers().stream().anyMatch(b -> b.node() == node)
                || client.metadata().controllers().stream().anyMatch(b -> b.node() == node);
    }

    // ---- for the listener thread and the status page

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
        return ControlStatus.json(self, view, founding, GroupStatus.json(group, table, time.mono()));
    }
}
