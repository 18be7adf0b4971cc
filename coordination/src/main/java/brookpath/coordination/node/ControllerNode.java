package brookpath.coordination.node;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.Tempo;
import brookpath.coordination.group.Copies;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.Msg;
import brookpath.coordination.message.Msg.BeatEntry;
import brookpath.coordination.message.Msg.Op;
import brookpath.coordination.message.Msg.OpReply;
import brookpath.coordination.message.Msg.SpecPoll;
import brookpath.coordination.message.Msg.SpecReply;
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
import brookpath.coordination.node.usage.UsageDesk;
import brookpath.coordination.spec.ControlState;
import brookpath.coordination.spec.FleetClock;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.GroupInfo;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.coordination.spec.SpecClient;
import brookpath.coordination.spec.SpecReader;
import brookpath.coordination.spec.StoredSpec;
import brookpath.state.record.Pack;
import jakarta.json.Json;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A machine of the control plane: a member of the control group, and its duties while it is the master. */
public final class ControllerNode extends Node {
    /** The control group's number; topic groups count from 0. */
    public static final int CONTROL = 1_000_000;

    /** Operations that append a roster. */
    private static final Set<RequestKind> APPENDING =
            Set.of(RequestKind.FOUNDED, RequestKind.MEMBERS, RequestKind.RETIRE, RequestKind.RETIRE_NAMED);

    private final Founding founding;
    /** Whom the settings name as the control group's founders; once the log tells of members, these count no more. */
    private final List<Member> founders;

    /** How a controller that is not the control master hears of the roster, and the control master of it. */
    private final SpecClient client;

    private long rollBytes;
    private final GroupMachine group;
    private final ControlMembers controlMembers;
    private final ControlView view;
    private final PollRegistry polls;
    private final MetadataKeeper metadata;
    private final GroupMoves moves;
    private final Replies replies;
    private final RelayedRequests relayed;
    private final PendingAnswers pending;
    private final ChangeOrders changes;
    private final RetireOrders retirements;
    private long ids;
    private final UsageDesk usage;
    private long retreat;
    private final FleetClock clock = new FleetClock();
    /** Polls that this node has carried to a control master, by who asked. */
    private final TreeMap<Integer, SpecPoll> carried = new TreeMap<>();

    public ControllerNode(
            final int self,
            final List<Member> founders,
            final Founding founding,
            final Tempo tempo,
            final long seed,
            final long firstId,
            final long rollBytes) {
        this(
                new NodeInfo(self, "", ""),
                founders,
                founders.stream().map(Member::node).toList(),
                founding,
                tempo,
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
            final Tempo tempo,
            final long seed,
            final long firstId,
            final long rollBytes) {
        super(info.node(), tempo);
        this.founding = founding;
        this.rollBytes = rollBytes;
        this.founders = founders;
        ids = firstId;
        group = new GroupMachine(
                CONTROL, self, tempo, founding.toleratedLosses(), seed, ControlState::new, pledges, out);
        controlMembers = new ControlMembers(self, group, tempo, founding.toleratedLosses());
        view = new ControlView(group);
        polls = new PollRegistry(self, group, view, clock, tempo, out);
        metadata = new MetadataKeeper(info, group, view, polls, founding, tempo);
        moves = new GroupMoves(view, polls, founding.copies(), tempo, out);
        replies = new Replies(self, tempo, out);
        relayed = new RelayedRequests(tempo, replies, () -> ++ids, out);
        pending = new PendingAnswers(group, tempo, replies, out);
        changes = new ChangeOrders(
                group,
                new SpecReader.Limits(founding.copies(), Copies.floor(founding.copies(), founding.toleratedLosses())),
                polls,
                pending,
                replies);
        retirements = new RetireOrders(group, polls, pending);
        usage = new UsageDesk(self, group, clock, tempo, () -> ++ids, out);
        client = new SpecClient(info, SpecPoll.CONTROLLER, seeds, firstId, tempo, out);
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
        // why: one that no founder and no log names is no member; it carries jobs and polls, and a membership that
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
        for (final Roster r : List.of(view.newestMetadata(), client.roster())) {
            r.controllers().forEach(n -> map.put(n.node(), n.address()));
        }
        map.remove(self);
        return map;
    }

    /** The control master as this controller sees it, 0 for none. */
    private int controlMaster(final long now) {
        final int heard = group.masterHeard();
        return heard != 0 ? heard == self ? 0 : heard : client.masterHeard(now);
    }

    /**
     * Whom requests are carried to, 0 for nobody. A member of the control group knows by the beats that it has lost its
     * master, and says so at once, where a lease from a poll would have it wait for one that it cannot reach.
     */
    private int masterForRequests(final long now) {
        if (!group.membership().holds(self)) {
            return controlMaster(now);
        }
        final int heard = group.masterHeard();
        return heard == self ? 0 : heard;
    }

    @Override
    public void replay(final byte[] entry, final Time time) {
        final Pack in = Pack.reader(entry);
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
        if (group.role() != GroupMachine.MASTER) {
            client.tick(time);
        }
        if (retreat != 0 && group.retreat(now)) {
            out.respond(retreat, new Response(200, 0, "{}"));
            retreat = 0;
        }
        if (group.mayAct(now)) {
            if (!view.backlogged()) {
                metadata.update(time);
                moves.drive(now);
            }
            usage.total(view.metadata(), view.configuration().spec().tenants().keySet(), time);
            usage.report(time);
        }
        relayed.tick(now);
        if (out.bytesSinceRoll() > rollBytes) {
            onDamage(time);
        }
    }

    @Override
    protected void onDamage(final Time time) {
        final Pack pack = Pack.writer();
        group.checkpoint().forEach(pack::bytes);
        out.roll(pack.done());
    }

    @Override
    protected void onSynced(final long number, final Time time) {
        group.synced(number, time.mono());
        after(time);
    }

    @Override
    protected void onMessage(final int from, final Msg msg, final Time time) {
        final long now = time.mono();
        if (msg instanceof SpecPoll m) {
            poll(from, m, time);
        } else if (msg instanceof SpecReply m) {
            if (m.node() == self) {
                if (client.onReply(m, time)) {
                    join(now);
                }
            } else if (isCarried(m)) {
                carried.remove(m.node());
                out.send(m.node(), m);
            }
        } else if (msg instanceof Op m) {
            if (isSibling(from) || group.mayAct(now) || !relayed.carry(from, m, masterForRequests(now), now)) {
                operate(from, m, time);
            }
        } else if (msg instanceof OpReply m) {
            relayed.onReply(from, m, now);
        } else {
            group.on(from, msg, now);
            after(time);
        }
    }

    /** Whether this answers the poll that is carried for the node, not one before it. */
    private boolean isCarried(final SpecReply m) {
        final SpecPoll poll = carried.get(m.node());
        return poll != null && poll.pollId() == m.pollId();
    }

    /** The roster may tell a newer membership than this controller's own log, if it has one: it joined, or left. */
    private void join(final long now) {
        final Membership control = client.roster().control();
        final boolean concerned = control.holds(self) || group.membership().holds(self);
        if (concerned && control.version() > group.membership().version()) {
            group.configure(control, true, now);
        }
    }

    @Override
    protected void onUnsent(final int to, final Msg msg, final Time time) {
        if (msg instanceof SpecPoll m && m.node() == self) {
            client.unsent(to, time.mono());
        }
        if (msg instanceof SpecPoll m && carried.remove(m.node()) != null) {
            notMaster(m.node(), m, 0);
        }
        if (msg instanceof Op m) {
            relayed.unsent(m);
        }
    }

    @Override
    protected void onSessionLost(final int node, final Time time) {
        client.unsent(node, time.mono());
        group.sessionLost(node);
        if (isSibling(node)) {
            carried.forEach((from, m) -> notMaster(from, m, 0));
            carried.clear();
        }
        relayed.sessionLost(node);
    }

    @Override
    public long restMs(final Time time) {
        final boolean busy = retreat != 0 || !pending.isEmpty() || !relayed.isEmpty();
        // why: one that is no member of the control group has nothing under way but what it carries
        return !busy && (group.calm() || !group.membership().holds(self)) ? tempo.beat() / 2 : tempo.tick();
    }

    @Override
    protected void onJob(final Job job, final Time time) {
        final long now = time.mono();
        if (job instanceof Job.Adopt j) {
            rollBytes = j.rollBytes();
        } else if (job instanceof Job.Posted j) {
            usage.posted(j, time);
        } else if (job instanceof Job.Status j) {
            out.respond(j.jobId(), new Response(200, 0, statusJson(time)));
        } else if (job instanceof Job.Ready j) {
            out.respond(j.jobId(), Ready.response(group.mayAct(now) || controlMaster(now) != 0, false));
        } else if (job instanceof Job.Retreat j) {
            retreat = j.jobId();
        } else if (job instanceof Job.Operate j) {
            final Op op = new Op(j.jobId(), j.kind(), j.body());
            if (group.mayAct(now)) {
                operate(self, op, time);
            } else if (!relayed.carry(self, op, masterForRequests(now), now)) {
                out.respond(j.jobId(), replies.unavailable("the control group has no master just now"));
            }
        }
    }

    private boolean isSibling(final int node) {
        return group.membership().holds(node)
                || view.metadata().controllers().stream().anyMatch(b -> b.node() == node)
                || client.roster().controllers().stream().anyMatch(b -> b.node() == node);
    }

    // ---- polls

    private void poll(final int from, final SpecPoll m, final Time time) {
        final long now = time.mono();
        if (!group.mayAct(now)) {
            final int master = controlMaster(now);
            if (m.relay() && from == m.node() && master != 0) {
                // why: it cannot reach the master but this node can; without this a half cut-off master would pause all
                // who do not hear it
                carried.put(from, m);
                out.send(master, m);
            } else {
                notMaster(from, m, master);
            }
            return;
        }
        clock.hear(m.node(), m.wall(), now);
        polls.poll(from, m, now);
        pending.step(time);
    }

    private void notMaster(final int to, final SpecPoll m, final int hint) {
        out.send(
                to, new SpecReply(m.pollId(), false, hint, group.epoch(), 0, new byte[0], 0, new byte[0], m.node(), 0));
    }

    private void after(final Time time) {
        final long now = time.mono();
        if (!group.mayAct(now)) {
            if (group.role() != GroupMachine.MASTER && polls.isOnDuty()) {
                polls.clear();
                clock.clear();
                usage.clear();
                moves.clear();
            }
            if (group.role() == GroupMachine.MASTER) {
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

    private void operate(final int from, final Op op, final Time time) {
        if (!group.mayAct(time.mono())) {
            replies.respond(from, op.jobId(), replies.unavailable("this node is not the control master"));
            return;
        }
        final RequestKind kind = RequestKind.of(op.kind());
        if (view.backlogged() && APPENDING.contains(kind)) {
            // why: refused before anything is appended, so it is certain; a change may be the repeat of one that is
            // under way
            replies.respond(from, op.jobId(), replies.unavailable("too many records wait for their copies"));
            return;
        }
        switch (kind) {
            case FOUNDED -> metadata.founded(op, time);
            case MEMBERS -> metadata.members(op, time);
            case USAGE -> usage(from, op);
            case FRONTS -> out.send(from, new OpReply(op.jobId(), 200, 0, polls.openGateways(time.mono())));
            case CHANGE -> changes.change(from, op, time);
            case RETIRE -> retirements.retire(from, op, time);
            case RETIRE_NAMED -> retirements.retireNamed(from, op, time);
            default -> pending.add(from, op, kind, at -> read(kind, op, at.mono()), time);
        }
    }

    /** Answers from the accepted state, which a majority backs. */
    private Response read(final RequestKind kind, final Op op, final long now) {
        return switch (kind) {
            case SPEC -> readSpec();
            case OUTCOME -> changes.outcome(new String(op.body(), UTF_8), tempo.retryAfterMs(), now);
            case RETIRED -> retirements.retired(new String(op.body(), UTF_8));
            case HANDOVER -> handover(op);
            case WINDOWS -> new Response(200, 0, usage.windowsJson());
            case NODES -> new Response(200, 0, nodesJson(now));
            default -> new Response(404, 0, "{}");
        };
    }

    private Response readSpec() {
        final StoredSpec at = view.configuration();
        return at.version() == 0
                ? new Response(404, 0, "{\"version\":0}")
                : new Response(
                        200, 0, "{\"version\":" + at.version() + ",\"document\":" + new String(at.doc(), UTF_8) + "}");
    }

    /** Asks a group's members for a manual switchover; nothing is recorded, and it may be asked again. */
    private Response handover(final Op op) {
        final int id = (int) Pack.reader(op.body()).num();
        final List<GroupInfo> groups = view.metadata().groups();
        if (id < 0 || id >= groups.size()) {
            return new Response(404, 0, "{\"outcome\":\"no such group\"}");
        }
        groups.get(id).members().forEach(m -> out.send(m.node(), new Op(0, "handover", op.body())));
        return new Response(202, 0, "{\"outcome\":\"asked\"}");
    }

    private void usage(final int from, final Op op) {
        final int id = (int) Pack.reader(op.body()).num();
        if (view.metadata().node(from) != null) {
            moves.mastered(id, from);
        }
        final byte[] included = Pack.writer().num(usage.tell(op)).done();
        out.send(from, new OpReply(op.jobId(), 200, 0, included));
    }

    private String nodesJson(final long now) {
        return Json.createObjectBuilder()
                .add("controlMaster", self)
                .add("epoch", group.epoch())
                .add("nodes", polls.nodesJson(now))
                .build()
                .toString();
    }

    // ---- for the listener thread and the status page

    @Override
    public List<BeatEntry> entries(final Time time) {
        return group.membership().holds(self) ? List.of(group.entry(time.mono())) : List.of();
    }

    @Override
    public Set<Integer> beatSiblings() {
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
        final Roster roster = view.metadata();
        return Json.createObjectBuilder()
                .add("node", self)
                .add("role", "bailiff")
                .add("specVersion", view.configuration().version())
                .add("rosterVersion", roster.version())
                .add("control", GroupStatus.json(group, table, time.mono()))
                .add("placement", ControlStatus.placement(roster))
                .add("copies", founding.copies())
                .add("storages", ControlStatus.storages(roster))
                .add("retiring", Json.createArrayBuilder(roster.retiring()))
                .build()
                .toString();
    }
}
