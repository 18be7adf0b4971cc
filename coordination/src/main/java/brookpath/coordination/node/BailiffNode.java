package brookpath.coordination.node;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.Tempo;
import brookpath.coordination.group.Copies;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.group.MoveOrder;
import brookpath.coordination.message.Msg;
import brookpath.coordination.message.Msg.BeatEntry;
import brookpath.coordination.message.Msg.Op;
import brookpath.coordination.message.Msg.OpReply;
import brookpath.coordination.message.Msg.SpecPoll;
import brookpath.coordination.message.Msg.SpecReply;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.control.ChangeOrders;
import brookpath.coordination.node.control.Followers;
import brookpath.coordination.node.control.PendingAnswers;
import brookpath.coordination.node.control.RelayedRequests;
import brookpath.coordination.node.control.Replies;
import brookpath.coordination.node.control.RequestKind;
import brookpath.coordination.node.control.RetireOrders;
import brookpath.coordination.node.usage.UsageDesk;
import brookpath.coordination.spec.ControlState;
import brookpath.coordination.spec.FleetClock;
import brookpath.coordination.spec.MovePlan;
import brookpath.coordination.spec.Placement;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.GroupInfo;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.coordination.spec.SpecClient;
import brookpath.coordination.spec.SpecReader;
import brookpath.coordination.spec.StorageSilence;
import brookpath.coordination.spec.StoredSpec;
import brookpath.coordination.spec.VersionUpdates;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObjectBuilder;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A machine of the control plane: a member of the control group, and its duties while it is the master. */
public final class BailiffNode extends Node {
    /** The control group's number; topic groups count from 0. */
    public static final int CONTROL = 1_000_000;

    /**
     * @param groups how many; 0 for one per storage machine that has come
     * @param storages groups are founded once this many storage machines have come, and where the number of groups is
     *     left open, no more come
     */
    public record Founding(int groups, int copies, int storages, int toleratedLosses) {}

    private static final class Poller {
        SpecPoll last;
        /** Whom its replies go to: itself, or the bailiff that carries its polls. */
        int via;

        long heldSince = -1;
        long leaseEnds = Long.MIN_VALUE;
        long heardAt;
        /** It has been told the fleet's clock. */
        boolean clockTold;
        /** Since when it has been heard without a break. */
        long since = -1;
    }

    /** What the handling of orders asks of this master's pollers. */
    private final Followers followers = new Followers() {
        @Override
        public boolean everywhere(final long version, final long now) {
            return BailiffNode.this.everywhere(version, now);
        }

        @Override
        public void confirmed(final long version) {
            acceptedAt.headMap(version).clear();
        }

        @Override
        public Set<Integer> aliveStorages(final long now) {
            return BailiffNode.this.aliveStorages(now);
        }

        @Override
        public boolean heardAll(final long now) {
            return dutySince >= 0 && now - dutySince > tempo.specLease();
        }
    };
    /** Operations that append a roster. */
    private static final Set<RequestKind> APPENDING =
            Set.of(RequestKind.FOUNDED, RequestKind.MEMBERS, RequestKind.RETIRE, RequestKind.RETIRE_NAMED);

    private final Founding founding;
    /** Whom the settings name as the control group's founders; once the log tells of members, these count no more. */
    private final List<Member> founders;

    private final NodeInfo info;
    /** How a bailiff that is not the control master hears of the roster, and the control master of it. */
    private final SpecClient client;

    private long rollBytes;
    private final GroupMachine group;
    private final ControlMembers controlMembers;
    private final TreeMap<Integer, Poller> pollers = new TreeMap<>();
    /** The configurations and the cluster metadata as followers get them. */
    private final VersionUpdates specUpdates = new VersionUpdates();

    private final VersionUpdates rosterUpdates = new VersionUpdates();
    private final Replies replies;
    private final RelayedRequests relayed;
    private final PendingAnswers pending;
    private final ChangeOrders changes;
    private final RetireOrders retirements;
    private long ids;
    private final UsageDesk usage;
    private long nextMove = Long.MIN_VALUE / 2;
    /** What the last plan of moves was made for; it is made anew when either changes. */
    private long plannedVersion = -1;

    private Set<Integer> plannedGone = Set.of();
    private long nextSwitchover = Long.MIN_VALUE / 2;
    /** Who told last that it masters a group. */
    private final TreeMap<Integer, Integer> masters = new TreeMap<>();

    private long dutySince = -1;
    private long newcomerAt;
    /** When each version that waits for its confirmation was first seen accepted. */
    private final TreeMap<Long, Long> acceptedAt = new TreeMap<>();

    private long retreat;
    private final FleetClock clock = new FleetClock();
    /** Polls that this node has carried to a control master, by who asked. */
    private final TreeMap<Integer, SpecPoll> carried = new TreeMap<>();

    public BailiffNode(
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
     * @param info this bailiff as others are told of it
     * @param founders the control group's members at its founding; empty where the settings do not tell
     * @param seeds bailiffs that may be asked, members or not
     */
    public BailiffNode(
            final NodeInfo info,
            final List<Member> founders,
            final List<Integer> seeds,
            final Founding founding,
            final Tempo tempo,
            final long seed,
            final long firstId,
            final long rollBytes) {
        super(info.node(), tempo);
        this.info = info;
        this.founding = founding;
        this.rollBytes = rollBytes;
        this.founders = founders;
        ids = firstId;
        group = new GroupMachine(CONTROL, self, tempo, founding.toleratedLosses, seed, ControlState::new, pledges, out);
        controlMembers = new ControlMembers(self, group, tempo, founding.toleratedLosses);
        replies = new Replies(self, tempo, out);
        relayed = new RelayedRequests(tempo, replies, () -> ++ids, out);
        pending = new PendingAnswers(group, tempo, replies, out);
        changes = new ChangeOrders(
                group,
                new SpecReader.Limits(founding.copies, Copies.floor(founding.copies, founding.toleratedLosses)),
                followers,
                pending,
                replies);
        retirements = new RetireOrders(group, followers, pending);
        usage = new UsageDesk(self, group, clock, tempo, () -> ++ids, out);
        client = new SpecClient(info, SpecPoll.BAILIFF, seeds, firstId, tempo, out);
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
        client.suggest(newestRoster().bailiffs());
        return out.drain();
    }

    /** The addresses of the other bailiffs, as far as they are known. */
    public Map<Integer, String> addresses() {
        final Map<Integer, String> map = new TreeMap<>();
        for (final Roster r : List.of(newestRoster(), client.roster())) {
            r.bailiffs().forEach(n -> map.put(n.node(), n.address()));
        }
        map.remove(self);
        return map;
    }

    /** The control master as this bailiff sees it, 0 for none. */
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

    private ControlState state() {
        return (ControlState) group.live();
    }

    private StoredSpec spec() {
        return state().specAt(group.accepted());
    }

    private Roster roster() {
        return state().rosterAt(group.accepted());
    }

    /** Whether so much waits for its copies that nothing more is to be appended. */
    private boolean backlogged() {
        return group.diskBacklogged() || state().appendedAfter(group.accepted()) >= ChangeOrders.MAX_UNACCEPTED;
    }

    private Roster newestRoster() {
        return state().rosterAt(Long.MAX_VALUE);
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
            if (!backlogged()) {
                place(time);
                move(time);
            }
            usage.total(roster(), spec().spec().tenants().keySet(), time);
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

    /** The roster may tell a newer membership than this bailiff's own log, if it has one: it joined, or left. */
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
                || roster().bailiffs().stream().anyMatch(b -> b.node() == node)
                || client.roster().bailiffs().stream().anyMatch(b -> b.node() == node);
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
        if (!pollers.containsKey(m.node())) {
            newcomerAt = now;
        }
        final Poller p = pollers.computeIfAbsent(m.node(), k -> new Poller());
        p.via = from;
        p.last = m;
        if (p.since < 0 || now - p.heardAt > tempo.specLease()) {
            p.since = now;
        }
        p.heardAt = now;
        p.heldSince = now;
        answerPoll(p, now);
        pending.step(time);
    }

    private void notMaster(final int to, final SpecPoll m, final int hint) {
        out.send(
                to, new SpecReply(m.pollId(), false, hint, group.epoch(), 0, new byte[0], 0, new byte[0], m.node(), 0));
    }

    /** Answers when there is news, or when the poll has been held long enough. */
    private void answerPoll(final Poller p, final long now) {
        final StoredSpec spec = spec();
        final Roster roster = roster();
        final boolean news = p.last.specVersion() < spec.version() || p.last.rosterVersion() < roster.version();
        noteVersions(spec, roster);
        // why: a lease that a predecessor granted may be about to run out, so the first poll is never held
        // why: until it knows the clock, a storage machine accepts nothing
        if (!news
                && (p.clockTold || !clock.known())
                && p.leaseEnds != Long.MIN_VALUE
                && now - p.heldSince < tempo.specHold()) {
            return;
        }
        p.heldSince = -1;
        p.clockTold = clock.known();
        p.leaseEnds = now + tempo.specLease();
        out.send(
                p.via,
                new SpecReply(
                        p.last.pollId(),
                        true,
                        self,
                        group.epoch(),
                        spec.version(),
                        specUpdates.since(p.last.specVersion()),
                        roster.version(),
                        rosterUpdates.since(p.last.rosterVersion()),
                        p.last.node(),
                        clock.known() ? clock.wall(now) : 0));
    }

    private void noteVersions(final StoredSpec spec, final Roster roster) {
        if (!specUpdates.has(spec.version())) {
            specUpdates.newest(spec.version(), spec.lean());
        }
        if (!rosterUpdates.has(roster.version())) {
            rosterUpdates.newest(roster.version(), roster.save());
        }
    }

    private void after(final Time time) {
        final long now = time.mono();
        if (!group.mayAct(now)) {
            if (group.role() != GroupMachine.MASTER && dutySince >= 0) {
                dutySince = -1;
                pollers.clear();
                specUpdates.clear();
                rosterUpdates.clear();
                clock.clear();
                usage.clear();
                masters.clear();
                plannedGone = Set.of();
                acceptedAt.clear();
            }
            if (group.role() == GroupMachine.MASTER) {
                pending.step(time);
            } else {
                pending.end();
            }
            return;
        }
        if (dutySince < 0) {
            dutySince = now;
        }
        if (group.tellsMembers()) {
            controlMembers.advance(table, observers(now), controllerZones(), now, time.wall());
        }
        clock.hear(self, time.wall(), now);
        pollers.forEach((node, p) -> {
            if (p.heldSince >= 0) {
                answerPoll(p, now);
            }
        });
        // why: a process that is gone and whose lease has run out serves nothing, so nobody needs to wait for it
        pollers.values().removeIf(p -> p.heldSince < 0 && now > p.leaseEnds && now - p.heardAt > 2 * tempo.specLease());
        final Set<Integer> heard = new HashSet<>(pollers.keySet());
        heard.add(self);
        clock.keep(heard);
        pending.step(time);
    }

    /** Controllers that have lately asked this master themselves, and mean to stay. */
    private List<NodeInfo> observers(final long now) {
        return pollers.values().stream()
                .filter(p -> p.last.role() == SpecPoll.BAILIFF && p.via == p.last.node() && !p.last.drain())
                .filter(p -> now - p.heardAt <= 2 * tempo.specHold())
                .map(p -> new NodeInfo(p.last.node(), p.last.zone(), p.last.address(), p.last.name(), p.last.machine()))
                .toList();
    }

    private Map<Integer, String> controllerZones() {
        final Map<Integer, String> zones = new TreeMap<>();
        newestRoster().bailiffs().forEach(b -> zones.put(b.node(), b.zone()));
        return zones;
    }

    /** Not a member, and not heard for long: nobody needs to know of it any more. */
    private boolean isGone(final NodeInfo bailiff, final long now) {
        return bailiff.node() != self
                && now - dutySince > tempo.recoverMs()
                && !pollers.containsKey(bailiff.node())
                && !group.membership().holds(bailiff.node());
    }

    // ---- duties of the master

    private void place(final Time time) {
        if (!group.tellsMembers()) {
            // why: from here on the log says who the members are, also to one that comes back with other seeds than the
            // founders
            group.change(
                    new Membership(
                            group.membership().version() + 1, group.membership().voters(), List.of()),
                    time.mono(),
                    time.wall());
            return;
        }
        final Roster roster = newestRoster();
        final List<NodeInfo> nodes = new ArrayList<>(roster.nodes());
        final List<NodeInfo> bailiffs = new ArrayList<>(roster.bailiffs());
        final List<Integer> retiring = new ArrayList<>(roster.retiring());
        boolean changed = take(bailiffs, info, retiring);
        for (final Poller p : pollers.values()) {
            final NodeInfo told =
                    new NodeInfo(p.last.node(), p.last.zone(), p.last.address(), p.last.name(), p.last.machine());
            if (p.last.role() != SpecPoll.FRONT) {
                changed |= take(p.last.role() == SpecPoll.STORAGE ? nodes : bailiffs, told, retiring);
            }
        }
        changed |= group.membershipSettled()
                && roster.control().version() < group.membership().version();
        List<GroupInfo> groups = roster.groups();
        if (groups.isEmpty()
                && nodes.size() >= founding.storages
                && (founding.groups > 0 || time.mono() - newcomerAt >= tempo.changeMs() / 2)) {
            groups = Placement.found(nodes, founding.groups > 0 ? founding.groups : nodes.size(), founding.copies);
            changed = true;
        }
        if (changed) {
            bailiffs.removeIf(b -> isGone(b, time.mono()));
            appendRoster(
                    new Roster(
                            roster.version() + 1,
                            List.copyOf(nodes),
                            groups,
                            List.copyOf(retiring),
                            List.copyOf(bailiffs),
                            group.membershipSettled() ? group.membership() : roster.control()),
                    time);
        }
    }

    /**
     * True where the node is a new one, or is somewhere else now. What was said of a machine before it says nothing.
     */
    private static boolean take(final List<NodeInfo> nodes, final NodeInfo info, final List<Integer> retiring) {
        if (nodes.contains(info)) {
            return false;
        }
        if (nodes.stream().anyMatch(info::replaces)) {
            retiring.remove((Integer) info.node());
        }
        nodes.removeIf(n -> n.node() == info.node());
        nodes.add(info);
        return true;
    }

    private void appendRoster(final Roster roster, final Time time) {
        group.append(Rec.CONTROL, ControlState.rosterBody(roster), time.mono(), time.wall());
    }

    private void founded(final int id, final Time time) {
        final Roster roster = newestRoster();
        for (final GroupInfo g : roster.groups()) {
            if (g.id() == id && !g.founded()) {
                appendRoster(roster.with(new GroupInfo(id, true, g.membership())), time);
            }
        }
    }

    private void operate(final int from, final Op op, final Time time) {
        if (!group.mayAct(time.mono())) {
            replies.respond(from, op.jobId(), replies.unavailable("this node is not the control master"));
            return;
        }
        final RequestKind kind = RequestKind.of(op.kind());
        if (backlogged() && APPENDING.contains(kind)) {
            // why: refused before anything is appended, so it is certain; a change may be the repeat of one that is
            // under way
            replies.respond(from, op.jobId(), replies.unavailable("too many records wait for their copies"));
            return;
        }
        switch (kind) {
            case FOUNDED -> founded((int) Pack.reader(op.body()).num(), time);
            case MEMBERS -> members(op, time);
            case USAGE -> usage(from, op);
            case FRONTS -> fronts(from, op, time.mono());
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
        final StoredSpec at = spec();
        return at.version() == 0
                ? new Response(404, 0, "{\"version\":0}")
                : new Response(
                        200, 0, "{\"version\":" + at.version() + ",\"document\":" + new String(at.doc(), UTF_8) + "}");
    }

    /** Asks a group's members for a manual switchover; nothing is recorded, and it may be asked again. */
    private Response handover(final Op op) {
        final int id = (int) Pack.reader(op.body()).num();
        final List<GroupInfo> groups = roster().groups();
        if (id < 0 || id >= groups.size()) {
            return new Response(404, 0, "{\"outcome\":\"no such group\"}");
        }
        groups.get(id).members().forEach(m -> out.send(m.node(), new Op(0, "handover", op.body())));
        return new Response(202, 0, "{\"outcome\":\"asked\"}");
    }

    // ---- moves

    private Set<Integer> aliveStorages(final long now) {
        final Set<Integer> alive = new HashSet<>();
        pollers.forEach((node, p) -> {
            if (p.last.role() == SpecPoll.STORAGE && now - p.heardAt <= tempo.specLease()) {
                alive.add(node);
            }
        });
        return alive;
    }

    /** The fronts that take sessions, for one that sends its own on. */
    private void fronts(final int from, final Op op, final long now) {
        final List<SpecPoll> fronts = pollers.values().stream()
                .filter(p ->
                        p.last.role() == SpecPoll.FRONT && !p.last.drain() && now - p.heardAt <= 2 * tempo.specHold())
                .map(p -> p.last)
                .toList();
        final Pack pack = Pack.writer().num(fronts.size());
        fronts.forEach(m -> pack.num(m.node()).str(m.zone()).str(m.address()));
        out.send(from, new OpReply(op.jobId(), 200, 0, pack.done()));
    }

    /** Drives on the moves that the plan names, and hands masterships back to those that rank first. */
    private void move(final Time time) {
        final long now = time.mono();
        final Roster roster = roster();
        final StorageSilence silence = new StorageSilence(tempo, roster, storagesHeardAt(), now);
        final Set<Integer> gone = silence.gone(dutySince, plannedGone);
        if (now < nextMove && roster.version() == plannedVersion && gone.equals(plannedGone)) {
            return;
        }
        nextMove = now + tempo.beat();
        plannedVersion = roster.version();
        noteGone(gone);
        final MovePlan.Heard heard = new MovePlan.Heard(silence.alive(), steadyStorages(now), gone);
        MovePlan.next(roster, heard, founding.copies).forEach(m -> order(roster, m));
        if (now >= nextSwitchover) {
            final MovePlan.Switchover s = MovePlan.switchover(roster, masters, steadyStorages(now));
            if (s != null) {
                // why: one at a time, each with time to settle; a handing over that fails costs its group a moment
                nextSwitchover = now + tempo.recoverMs() / 2;
                masters.remove(s.group());
                out.note("group " + s.group() + ": asks node " + s.from() + " to hand over to node " + s.to()
                        + ", which ranks first");
                out.send(
                        s.from(),
                        new Op(
                                0,
                                "handover",
                                Pack.writer().num(s.group()).num(s.to()).done()));
            }
        }
    }

    private Map<Integer, Long> storagesHeardAt() {
        final Map<Integer, Long> heardAt = new TreeMap<>();
        pollers.forEach((node, p) -> {
            if (p.last.role() == SpecPoll.STORAGE) {
                heardAt.put(node, p.heardAt);
            }
        });
        return heardAt;
    }

    private void noteGone(final Set<Integer> gone) {
        if (!gone.equals(plannedGone)) {
            plannedGone = gone;
            out.note("storage machines taken for gone: " + gone);
        }
    }

    /** Tells all members, of whom the group's master obeys. */
    private void order(final Roster roster, final MovePlan.Move m) {
        final GroupInfo info = roster.groups().get(m.group());
        final byte[] body =
                new MoveOrder(m.group(), info.version(), m.from(), m.to().node(), m.to().zone(), m.repair()).save();
        info.members().forEach(to -> out.send(to.node(), new Op(0, "move", body)));
    }

    /** Storage machines that have been heard for several times the recovery bound without a break. */
    private Set<Integer> steadyStorages(final long now) {
        final Set<Integer> steady = aliveStorages(now);
        steady.removeIf(n -> now - pollers.get(n).since < 2 * tempo.recoverMs());
        return steady;
    }

    /** A group's master tells the membership that its log has accepted. */
    private void members(final Op op, final Time time) {
        final Pack in = Pack.reader(op.body());
        final int id = (int) in.num();
        final Membership membership = Membership.load(in);
        final Roster roster = newestRoster();
        if (id < 0 || id >= roster.groups().size() || roster.groups().get(id).version() >= membership.version()) {
            return;
        }
        appendRoster(roster.with(new GroupInfo(id, roster.groups().get(id).founded(), membership)), time);
    }

    private void usage(final int from, final Op op) {
        final int id = (int) Pack.reader(op.body()).num();
        if (roster().node(from) != null) {
            masters.put(id, from);
        }
        final byte[] included = Pack.writer().num(usage.tell(op)).done();
        out.send(from, new OpReply(op.jobId(), 200, 0, included));
    }

    /** A change is confirmed when every live process has taken it, or its lease on what was before has run out. */
    private boolean everywhere(final long version, final long now) {
        acceptedAt.putIfAbsent(version, now);
        // why: a predecessor may have granted leases that this master has not seen
        if (dutySince < 0 || now - dutySince <= tempo.confirmWait()) {
            return false;
        }
        if (tempo.leaseMs() > tempo.changeMs() && now - acceptedAt.get(version) >= tempo.confirmWait()) {
            // why: who has not taken it by now cannot be reached, and its lease ends no later than leaseMs from here
            return true;
        }
        for (final Poller p : pollers.values()) {
            if (p.last.role() != SpecPoll.BAILIFF
                    && p.last.specVersion() < version
                    && (now <= p.leaseEnds || p.heldSince >= 0)) {
                return false;
            }
        }
        return true;
    }

    private String nodesJson(final long now) {
        final JsonArrayBuilder arr = Json.createArrayBuilder();
        pollers.forEach((node, p) -> arr.add(Json.createObjectBuilder()
                .add("node", node)
                .add(
                        "role",
                        p.last.role() == SpecPoll.STORAGE
                                ? "storage"
                                : p.last.role() == SpecPoll.BAILIFF ? "bailiff" : "front")
                .add("zone", p.last.zone())
                .add("specVersion", p.last.specVersion())
                .add("rosterVersion", p.last.rosterVersion())
                .add("draining", p.last.drain())
                .add("leaseLeftMs", Math.max(0, p.leaseEnds - now))
                .add("heardMsAgo", now - p.heardAt)));
        return Json.createObjectBuilder()
                .add("controlMaster", self)
                .add("epoch", group.epoch())
                .add("nodes", arr)
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
        final Map<Integer, String> zones = zonesOf(roster());
        pollers.forEach((node, p) -> zones.put(node, p.last.zone()));
        return zones;
    }

    @Override
    public String statusJson(final Time time) {
        final JsonArrayBuilder placed = Json.createArrayBuilder();
        final Roster roster = roster();
        for (final GroupInfo g : roster.groups()) {
            final JsonArrayBuilder ms = Json.createArrayBuilder();
            g.members()
                    .forEach(m -> ms.add(Json.createObjectBuilder()
                            .add("node", m.node())
                            .add("zone", m.zone())
                            .add("weight", m.weight())));
            placed.add(Json.createObjectBuilder()
                    .add("group", g.id())
                    .add("groupVersion", g.version())
                    .add("founded", g.founded())
                    .add("members", ms)
                    .add(
                            "learners",
                            Json.createArrayBuilder(g.membership().learners().stream()
                                    .map(Member::node)
                                    .toList())));
        }
        final JsonArrayBuilder storages = Json.createArrayBuilder();
        roster.nodes()
                .forEach(n -> storages.add(Json.createObjectBuilder()
                        .add("node", n.node())
                        .add("zone", n.zone())
                        .add("address", n.address())));
        final JsonObjectBuilder obj = Json.createObjectBuilder()
                .add("node", self)
                .add("role", "bailiff")
                .add("specVersion", spec().version())
                .add("rosterVersion", roster.version())
                .add("control", GroupStatus.json(group, table, time.mono()))
                .add("placement", placed)
                .add("copies", founding.copies)
                .add("storages", storages)
                .add("retiring", Json.createArrayBuilder(roster.retiring()));
        return obj.build().toString();
    }
}
