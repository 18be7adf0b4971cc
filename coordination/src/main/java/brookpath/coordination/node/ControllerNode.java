package brookpath.coordination.node;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.ClusterMetadata;
import brookpath.coordination.configuration.ClusterMetadata.GroupInfo;
import brookpath.coordination.configuration.ClusterMetadata.NodeInfo;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.configuration.ConfigurationReader;
import brookpath.coordination.configuration.ControlState;
import brookpath.coordination.configuration.FleetClock;
import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.group.Quorums;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.control.ChangeOrders;
import brookpath.coordination.node.control.ControlMembers;
import brookpath.coordination.node.control.ControlStatus;
import brookpath.coordination.node.control.ControlView;
import brookpath.coordination.node.control.Founding;
import brookpath.coordination.node.control.GroupMoves;
import brookpath.coordination.node.control.MetadataKeeper;
import brookpath.coordination.node.control.PendingAnswers;
import brookpath.coordination.node.control.PollRegistry;
import brookpath.coordination.node.control.RelayedRequests;
import brookpath.coordination.node.control.Replies;
import brookpath.coordination.node.control.RequestKind;
import brookpath.coordination.node.control.RetireOrders;
import brookpath.coordination.node.usage.UsageReporter;
import brookpath.state.record.PackedBuffer;
import jakarta.json.Json;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A machine of the control plane: a member of the control group, and its duties while it is the leader. */
public final class ControllerNode extends Node {
    /** The control group's number; topic groups count from 0. */
    public static final int CONTROL = 1_000_000;

    /** Operations that append a cluster metadata. */
    private static final Set<RequestKind> APPENDING =
            Set.of(RequestKind.FOUNDED, RequestKind.MEMBERS, RequestKind.RETIRE, RequestKind.RETIRE_NAMED);

    private final Founding founding;
    /** Whom the settings name as the control group's founders; once the log tells of members, these count no more. */
    private final List<Member> founders;

    /** How a controller that is not the control leader hears of the cluster metadata, and the control leader of it. */
    private final ConfigurationClient client;

    private long rollBytes;
    private final GroupMachine group;
    private final ControlMembers controlMembers;
    private final ControlView view;
    private final PollRegistry polls;
    private final MetadataKeeper metadataKeeper;
    private final GroupMoves moves;
    private final Replies replies;
    private final RelayedRequests relayed;
    private final PendingAnswers pending;
    private final ChangeOrders changes;
    private final RetireOrders retirements;
    private long ids;
    private final UsageReporter usage;
    private long retreat;
    private final FleetClock clock = new FleetClock();
    /** Polls that this node has carried to a control leader, by who asked. */
    private final TreeMap<Integer, ConfigurationPoll> carried = new TreeMap<>();

    public ControllerNode(
            final int self,
            final List<Member> founders,
            final Founding founding,
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
     * @param info this controller as others are told of it
     * @param founders the control group's members at its founding; empty where the settings do not tell
     * @param seeds controllers that may be asked, members or not
     */
    public ControllerNode(
            final NodeInfo info,
            final List<Member> founders,
            final List<Integer> seeds,
            final Founding founding,
            final TimingBounds timing,
            final long seed,
            final long firstId,
            final long rollBytes) {
        super(info.node(), timing);
        this.founding = founding;
        this.rollBytes = rollBytes;
        this.founders = founders;
        ids = firstId;
        group = new GroupMachine(
                CONTROL, self, timing, founding.toleratedLosses(), seed, ControlState::new, promises, out);
        controlMembers = new ControlMembers(self, group, timing, founding.toleratedLosses());
        view = new ControlView(group);
        polls = new PollRegistry(self, group, view, clock, timing, out);
        metadataKeeper = new MetadataKeeper(info, group, view, polls, founding, timing);
        moves = new GroupMoves(view, polls, founding.copies(), timing, out);
        replies = new Replies(self, timing, out);
        relayed = new RelayedRequests(timing, replies, () -> ++ids, out);
        pending = new PendingAnswers(group, timing, replies, out);
        changes = new ChangeOrders(
                group,
                new ConfigurationReader.Limits(
                        founding.copies(), Quorums.floor(founding.copies(), founding.toleratedLosses())),
                polls,
                pending,
                replies);
        retirements = new RetireOrders(group, polls, pending);
        usage = new UsageReporter(self, group, clock, timing, () -> ++ids, out);
        client = new ConfigurationClient(info, ConfigurationPoll.CONTROLLER, seeds, firstId, timing, out);
    }

    public GroupMachine group() {
        return group;
    }

    /** After replay: a first start that was asked for by the operator, or an ordinary one. */
    public List<brookpath.coordination.action.Action> start(final boolean found, final Time time) {
        group.bornAt(bornAt);
        if (found) {
            group.found();
        }
        // why: one that no founder and no log names is no member; it carries requests and polls, and a membership that
        // names it may come later
        if (founders.stream().anyMatch(m -> m.node() == self)
                || group.membership().holds(self)) {
            group.configure(founders, 1, true, time.mono());
        }
        // why: all that the settings name may be gone by now, but the log names others
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
     * Whom requests are carried to, 0 for nobody. A member of the control group knows by the heartbeats that it has
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
        controlMembers.watch(table, now);
        after(time);
        if (group.role() != GroupMachine.LEADER) {
            client.tick(time);
        }
        if (retreat != 0 && group.retreat(now)) {
            out.respond(retreat, new Response(200, 0, "{}"));
            retreat = 0;
        }
        if (group.mayAct(now)) {
            if (!view.backlogged()) {
                metadataKeeper.update(time);
                moves.drive(now);
            }
            usage.total(
                    view.metadata(),
                    view.configuration().configuration().tenants().keySet(),
                    time);
            usage.report(time);
        }
        relayed.tick(now);
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
        after(time);
    }

    @Override
    protected void onMessage(final int from, final PeerMessage message, final Time time) {
        final long now = time.mono();
        if (message instanceof ConfigurationPoll m) {
            poll(from, m, time);
        } else if (message instanceof ConfigurationReply m) {
            if (m.node() == self) {
                if (client.onReply(m, time)) {
                    join(now);
                }
            } else if (isCarried(m)) {
                carried.remove(m.node());
                out.send(m.node(), m);
            }
        } else if (message instanceof ControlRequest m) {
            if (isPeer(from) || group.mayAct(now) || !relayed.carry(from, m, leaderForRequests(now), now)) {
                operate(from, m, time);
            }
        } else if (message instanceof ControlReply m) {
            relayed.onReply(from, m, now);
        } else {
            group.on(from, message, now);
            after(time);
        }
    }

    /** Whether this answers the poll that is carried for the node, not one before it. */
    private boolean isCarried(final ConfigurationReply m) {
        final ConfigurationPoll poll = carried.get(m.node());
        return poll != null && poll.pollId() == m.pollId();
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
        if (message instanceof ConfigurationPoll m && m.node() == self) {
            client.unsent(to, time.mono());
        }
        if (message instanceof ConfigurationPoll m && carried.remove(m.node()) != null) {
            notLeader(m.node(), m, 0);
        }
        if (message instanceof ControlRequest m) {
            relayed.unsent(m);
        }
    }

    @Override
    protected void onSessionLost(final int node, final Time time) {
        client.unsent(node, time.mono());
        group.sessionLost(node);
        if (isPeer(node)) {
            carried.forEach((from, m) -> notLeader(from, m, 0));
            carried.clear();
        }
        relayed.sessionLost(node);
    }

    @Override
    public long restMs(final Time time) {
        final boolean busy = retreat != 0 || !pending.isEmpty() || !relayed.isEmpty();
        // why: one that is no member of the control group has nothing under way but what it carries
        return !busy && (group.calm() || !group.membership().holds(self)) ? timing.heartbeat() / 2 : timing.tick();
    }

    @Override
    protected void onRequest(final NodeRequest request, final Time time) {
        final long now = time.mono();
        if (request instanceof NodeRequest.Adopt j) {
            rollBytes = j.rollBytes();
        } else if (request instanceof NodeRequest.Posted j) {
            usage.posted(j, time);
        } else if (request instanceof NodeRequest.Status j) {
            out.respond(j.requestId(), new Response(200, 0, statusJson(time)));
        } else if (request instanceof NodeRequest.ReadinessProbe j) {
            out.respond(j.requestId(), ReadinessProbe.response(group.mayAct(now) || controlLeader(now) != 0, false));
        } else if (request instanceof NodeRequest.Retreat j) {
            retreat = j.requestId();
        } else if (request instanceof NodeRequest.Operate j) {
            final ControlRequest op = new ControlRequest(j.requestId(), j.kind(), j.body());
            if (group.mayAct(now)) {
                operate(self, op, time);
            } else if (!relayed.carry(self, op, leaderForRequests(now), now)) {
                out.respond(j.requestId(), replies.unavailable("the control group has no master just now"));
            }
        }
    }

    private boolean isPeer(final int node) {
        return group.membership().holds(node)
                || view.metadata().controllers().stream().anyMatch(b -> b.node() == node)
                || client.metadata().controllers().stream().anyMatch(b -> b.node() == node);
    }

    // ---- polls

    private void poll(final int from, final ConfigurationPoll m, final Time time) {
        final long now = time.mono();
        if (!group.mayAct(now)) {
            final int leader = controlLeader(now);
            if (m.relay() && from == m.node() && leader != 0) {
                // why: it cannot reach the leader but this node can; without this a half cut-off leader would pause all
                // who do not hear it
                carried.put(from, m);
                out.send(leader, m);
            } else {
                notLeader(from, m, leader);
            }
            return;
        }
        clock.hear(m.node(), m.wall(), now);
        polls.poll(from, m, now);
        pending.step(time);
    }

    private void notLeader(final int to, final ConfigurationPoll m, final int hint) {
        out.send(
                to,
                new ConfigurationReply(
                        m.pollId(), false, hint, group.term(), 0, new byte[0], 0, new byte[0], m.node(), 0));
    }

    private void after(final Time time) {
        final long now = time.mono();
        if (!group.mayAct(now)) {
            if (group.role() != GroupMachine.LEADER && polls.isOnDuty()) {
                polls.clear();
                clock.clear();
                usage.clear();
                moves.clear();
            }
            if (group.role() == GroupMachine.LEADER) {
                pending.step(time);
            } else {
                pending.end();
            }
            return;
        }
        polls.onDuty(now);
        if (group.tellsMembers()) {
            controlMembers.advance(table, polls.observers(now), controllerZones(), now, time.wall());
        }
        clock.hear(self, time.wall(), now);
        polls.answerHeld(now);
        final Set<Integer> heard = new HashSet<>(polls.nodes());
        heard.add(self);
        clock.keep(heard);
        pending.step(time);
    }

    private Map<Integer, String> controllerZones() {
        final Map<Integer, String> zones = new TreeMap<>();
        view.newestMetadata().controllers().forEach(b -> zones.put(b.node(), b.zone()));
        return zones;
    }

    private void operate(final int from, final ControlRequest op, final Time time) {
        if (!group.mayAct(time.mono())) {
            replies.respond(from, op.requestId(), replies.unavailable("this node is not the control master"));
            return;
        }
        final RequestKind kind = RequestKind.of(op.kind());
        if (view.backlogged() && APPENDING.contains(kind)) {
            // why: refused before anything is appended, so it is certain; a change may be the repeat of one that is
            // under way
            replies.respond(from, op.requestId(), replies.unavailable("too many records wait for their copies"));
            return;
        }
        switch (kind) {
            case FOUNDED -> metadataKeeper.founded(op, time);
            case MEMBERS -> metadataKeeper.members(op, time);
            case USAGE -> usage(from, op);
            case GATEWAYS -> out.send(from, new ControlReply(op.requestId(), 200, 0, polls.openGateways(time.mono())));
            case CHANGE -> changes.change(from, op, time);
            case RETIRE -> retirements.retire(from, op, time);
            case RETIRE_NAMED -> retirements.retireNamed(from, op, time);
            default -> pending.add(from, op, kind, at -> read(kind, op, at.mono()), time);
        }
    }

    /** Answers from the committed state, which a majority backs. */
    private Response read(final RequestKind kind, final ControlRequest op, final long now) {
        return switch (kind) {
            case CONFIGURATION -> readConfiguration();
            case OUTCOME -> changes.outcome(new String(op.body(), UTF_8), timing.retryAfterMs(), now);
            case RETIRED -> retirements.retired(new String(op.body(), UTF_8));
            case HANDOVER -> handover(op);
            case WINDOWS -> new Response(200, 0, usage.windowsJson());
            case NODES -> new Response(200, 0, nodesJson(now));
            default -> new Response(404, 0, "{}");
        };
    }

    private Response readConfiguration() {
        final StoredConfiguration at = view.configuration();
        return at.version() == 0
                ? new Response(404, 0, "{\"version\":0}")
                : new Response(
                        200, 0, "{\"version\":" + at.version() + ",\"document\":" + new String(at.doc(), UTF_8) + "}");
    }

    /** Asks a group's members for a manual switchover; nothing is recorded, and it may be asked again. */
    private Response handover(final ControlRequest op) {
        final int id = (int) PackedBuffer.reader(op.body()).num();
        final List<GroupInfo> groups = view.metadata().groups();
        if (id < 0 || id >= groups.size()) {
            return new Response(404, 0, "{\"outcome\":\"no such group\"}");
        }
        groups.get(id).members().forEach(m -> out.send(m.node(), new ControlRequest(0, "handover", op.body())));
        return new Response(202, 0, "{\"outcome\":\"asked\"}");
    }

    private void usage(final int from, final ControlRequest op) {
        final int id = (int) PackedBuffer.reader(op.body()).num();
        if (view.metadata().node(from) != null) {
            moves.mastered(id, from);
        }
        final byte[] included = PackedBuffer.writer().num(usage.tell(op)).done();
        out.send(from, new ControlReply(op.requestId(), 200, 0, included));
    }

    private String nodesJson(final long now) {
        return Json.createObjectBuilder()
                .add("controlMaster", self)
                .add("epoch", group.term())
                .add("nodes", polls.nodesJson(now))
                .build()
                .toString();
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
        polls.addZones(zones);
        return zones;
    }

    @Override
    public String statusJson(final Time time) {
        final ClusterMetadata metadata = view.metadata();
        return Json.createObjectBuilder()
                .add("node", self)
                .add("role", "bailiff")
                .add("specVersion", view.configuration().version())
                .add("rosterVersion", metadata.version())
                .add("control", GroupStatus.json(group, table, time.mono()))
                .add("placement", ControlStatus.placement(metadata))
                .add("copies", founding.copies())
                .add("storages", ControlStatus.storages(metadata))
                .add("retiring", Json.createArrayBuilder(metadata.retiring()))
                .build()
                .toString();
    }
}
