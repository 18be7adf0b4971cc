package brookpath.coordination.node;

import static brookpath.coordination.message.PeerMessage.PublishReply.ACCEPTED;
import static brookpath.coordination.message.PeerMessage.PublishReply.BUSY;
import static brookpath.coordination.message.PeerMessage.PublishReply.NOT_LEADER;
import static brookpath.coordination.message.PeerMessage.PublishReply.REFUSED_FOR_GOOD;
import static brookpath.coordination.message.PeerMessage.PublishReply.UNSETTLED;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.ClusterMetadata.GroupInfo;
import brookpath.coordination.configuration.ClusterMetadata.NodeInfo;
import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.MembershipDriver;
import brookpath.coordination.group.MoveOrder;
import brookpath.coordination.group.Quorums;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.PeerMessage.Fetch;
import brookpath.coordination.message.PeerMessage.FetchReply;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.PeerMessage.ListenerCountReply;
import brookpath.coordination.message.PeerMessage.ListenerCountRequest;
import brookpath.coordination.message.PeerMessage.ListenerReport;
import brookpath.coordination.message.PeerMessage.Publish;
import brookpath.coordination.message.PeerMessage.PublishReply;
import brookpath.coordination.message.PeerMessage.TopicPosition;
import brookpath.coordination.message.Response;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A storage machine of the data plane: a member of topic groups. */
public final class StorageNode extends Node {
    private static final int FETCH_BYTES = 256 << 10;
    /** Publishes of one group that wait for their copies. */
    private static final int MAX_QUEUE = 4_096;

    private static final int MAX_SENDERS = 65_536;
    /** Entry kind: the group has left this machine. The other kinds are the group's own. */
    public static final int DROP = 100;

    private record Waiting(int from, long requestId, long index, int need, long deadline) {}

    private record HeldFetch(int from, Fetch fetch, long deadline) {}

    /** The topics that a gateway reads of a group, as it told them. */
    private record Interest(long edition, Set<String> topics) {}

    private record ToldMembers(int version, long at) {}

    private record Listeners(long heardAt, long edition, Map<String, Integer> counts) {}

    private final int toleratedLosses;
    private final long seed;
    private long rollBytes;
    private final ConfigurationClient client;
    private final TreeMap<Integer, GroupMachine> groups = new TreeMap<>();
    private final TreeMap<Integer, List<Waiting>> queues = new TreeMap<>();
    private final TreeMap<Integer, TreeMap<Integer, HeldFetch>> held = new TreeMap<>();
    private final TreeMap<Integer, TreeMap<Integer, Listeners>> listeners = new TreeMap<>();
    private final TreeMap<Integer, TreeMap<Integer, Interest>> interests = new TreeMap<>();
    private long retreat;
    private final TreeMap<Integer, Long> toldFounded = new TreeMap<>();
    private final TreeMap<Integer, ToldMembers> toldMembers = new TreeMap<>();
    private final MembershipDriver memberships;
    private final TreeMap<Integer, Long> toldUsage = new TreeMap<>();
    private final TreeMap<Integer, Long> counted = new TreeMap<>();

    /**
     * @param info this process as others are told of it
     * @param firstId where the IDs of its polls begin, another place in each life
     */
    public StorageNode(
            final NodeInfo info,
            final List<Integer> seeds,
            final TimingBounds timing,
            final int toleratedLosses,
            final long seed,
            final long firstId,
            final long rollBytes) {
        super(info.node(), timing);
        this.toleratedLosses = toleratedLosses;
        this.seed = seed;
        this.rollBytes = rollBytes;
        memberships = new MembershipDriver(self, timing);
        client = new ConfigurationClient(info, ConfigurationPoll.STORAGE, seeds, firstId, timing, out);
    }

    public ConfigurationClient client() {
        return client;
    }

    public GroupMachine group(final int id) {
        return groups.get(id);
    }

    private GroupMachine open(final int id) {
        return groups.computeIfAbsent(id, k -> {
            final GroupMachine g = new GroupMachine(
                    id,
                    self,
                    timing,
                    toleratedLosses,
                    seed,
                    () -> new TopicState(this::keepMs, timing.windowMs()),
                    promises,
                    out);
            g.bornAt(bornAt);
            return g;
        });
    }

    private long keepMs(final String topic) {
        if (topic.isEmpty()) {
            return 0;
        }
        final Configuration.Space space = client.configuration().spaceOf(topic);
        // why: before the first configuration nobody knows how long a space keeps, so nothing goes
        return client.configuration().version() == 0
                ? Long.MAX_VALUE
                : space == null ? timing.keepMargin() : space.keepingMs() + timing.keepMargin();
    }

    @Override
    public void replay(final byte[] entry, final Time time) {
        final PackedBuffer in = PackedBuffer.reader(entry);
        final int id = (int) in.num();
        if (PackedBuffer.reader(entry).skip(8).num() == DROP) {
            groups.remove(id);
        } else {
            open(id).replay(in, time.mono());
        }
    }

    @Override
    protected void onTick(final Time time) {
        final long now = time.mono();
        client.tick(time);
        for (final GroupMachine g : groups.values()) {
            g.tick(now, table);
            after(g, now);
            tellFounded(g, now);
            closeWindow(g, time);
            tellUsage(g, now);
        }
        if (retreat != 0) {
            boolean done = true;
            for (final GroupMachine g : groups.values()) {
                done &= g.retreat(now);
            }
            if (done) {
                out.respond(retreat, new Response(200, 0, "{}"));
                retreat = 0;
            }
        }
        if (out.bytesSinceRoll() > rollBytes) {
            roll();
        }
    }

    @Override
    protected void onDamage(final Time time) {
        roll();
    }

    private void roll() {
        final PackedBuffer buffer = PackedBuffer.writer();
        groups.values().forEach(g -> g.checkpoint().forEach(buffer::bytes));
        out.roll(buffer.done());
    }

    private void tellFounded(final GroupMachine g, final long now) {
        final GroupInfo info = info(g.id());
        if (info != null
                && !info.founded()
                && g.mayAct(now)
                && now - toldFounded.getOrDefault(g.id(), now - timing.changeMs()) >= timing.down()) {
            toldFounded.put(g.id(), now);
            out.send(
                    client.controlLeader(),
                    new ControlRequest(
                            0, "founded", PackedBuffer.writer().num(g.id()).done()));
        }
    }

    /** Once the clock has passed a window's end, a record says that nothing more goes into it. */
    private void closeWindow(final GroupMachine g, final Time time) {
        if (!client.clockKnown()) {
            return;
        }
        final long ended = (client.wall(time) - timing.heartbeat()) / timing.windowMs() - 1;
        if (((TopicState) g.live()).closed(Long.MAX_VALUE) < ended && g.mayAct(time.mono())) {
            g.append(LogRecord.CLOSE, PackedBuffer.writer().num(ended).done(), time.mono(), client.wall(time));
        }
    }

    /** The leader tells its closed windows' counts until the control leader has them in its log. */
    private void tellUsage(final GroupMachine g, final long now) {
        if (!g.mayAct(now) || now - toldUsage.getOrDefault(g.id(), now - timing.changeMs()) < timing.down()) {
            return;
        }
        final TopicState state = (TopicState) g.live();
        final long closed = state.closed(g.committed());
        final long included = counted.getOrDefault(g.id(), -1L);
        if (closed <= included) {
            return;
        }
        toldUsage.put(g.id(), now);
        final List<TopicState.Count> counts = state.counts(included, closed);
        final PackedBuffer buffer =
                PackedBuffer.writer().num(g.id()).num(included).num(closed).num(counts.size());
        counts.forEach(
                c -> buffer.num(c.window()).str(c.tenant()).num(c.publishes()).num(c.bytes()));
        out.send(client.controlLeader(), new ControlRequest(g.id() + 1L, "usage", buffer.done()));
    }

    /** The control plane learns a membership only once the group's own log has committed it. */
    private void tellMembers(final GroupMachine g, final long now) {
        final GroupInfo info = info(g.id());
        final int version = g.membership().version();
        if (info == null || version <= info.version() || !g.membershipSettled() || !g.mayAct(now)) {
            return;
        }
        final ToldMembers told = toldMembers.get(g.id());
        if (told != null && told.version == version && now - told.at < timing.heartbeat()) {
            return;
        }
        toldMembers.put(g.id(), new ToldMembers(version, now));
        out.send(
                client.controlLeader(),
                new ControlRequest(
                        0,
                        "members",
                        g.membership().buffer(PackedBuffer.writer().num(g.id())).done()));
    }

    /** An order to move a copy; it is repeated until nothing is left to do. */
    private void move(final ControlRequest op, final long now) {
        final MoveOrder order = MoveOrder.load(op.body());
        final GroupMachine g = groups.get(order.group());
        if (g != null) {
            memberships.order(order, g, now);
            after(g, now);
        }
    }

    private GroupInfo info(final int group) {
        for (final GroupInfo g : client.metadata().groups()) {
            if (g.id() == group) {
                return g;
            }
        }
        return null;
    }

    @Override
    protected void onMessage(final int from, final PeerMessage message, final Time time) {
        final long now = time.mono();
        if (message instanceof ConfigurationReply m) {
            if (client.onReply(m, time)) {
                configure(now);
            }
        } else if (message instanceof PeerMessage.VoteRequest m) {
            toGroup(m.group(), from, message, now);
        } else if (message instanceof PeerMessage.VoteReply m) {
            toGroup(m.group(), from, message, now);
        } else if (message instanceof PeerMessage.Pull m) {
            toGroup(m.group(), from, message, now);
        } else if (message instanceof PeerMessage.PullReply m) {
            toGroup(m.group(), from, message, now);
        } else if (message instanceof PeerMessage.TimeoutNow m) {
            toGroup(m.group(), from, message, now);
        } else if (message instanceof ControlRequest m && m.kind().equals("move")) {
            move(m, now);
        } else if (message instanceof ControlRequest m && m.kind().equals("handover")) {
            final PackedBuffer in = PackedBuffer.reader(m.body());
            final GroupMachine g = groups.get((int) in.num());
            if (g != null) {
                g.handOver((int) in.num(), now);
            }
        } else if (message instanceof PeerMessage.ControlReply m) {
            if (m.status() == 200) {
                counted.put(
                        (int) m.requestId() - 1, PackedBuffer.reader(m.body()).num());
            }
        } else if (message instanceof Publish m) {
            publish(from, m, time);
        } else if (message instanceof Fetch m) {
            fetch(from, m, now);
        } else if (message instanceof ListenerReport m) {
            final TreeMap<Integer, Listeners> told = listeners.computeIfAbsent(m.group(), k -> new TreeMap<>());
            final Listeners before = told.get(from);
            if (m.onto() == 0 || (before != null && before.edition == m.onto())) {
                final Map<String, Integer> counts =
                        m.onto() == 0 || m.counts().isEmpty() ? new HashMap<>() : new HashMap<>(before.counts);
                m.counts().forEach(c -> counts.put(c.topic(), c.count()));
                told.put(
                        from,
                        new Listeners(
                                now, m.edition(), m.onto() != 0 && m.counts().isEmpty() ? before.counts : counts));
            }
        } else if (message instanceof ListenerCountRequest m) {
            count(from, m, now);
        }
    }

    private void toGroup(final int id, final int from, final PeerMessage message, final long now) {
        final GroupMachine g = groups.get(id);
        if (g != null) {
            g.on(from, message, now);
            after(g, now);
        }
    }

    private void configure(final long now) {
        for (final GroupInfo info : client.metadata().groups()) {
            if (info.membership().holds(self)) {
                if (!groups.containsKey(info.id())) {
                    // why: a new learner pulls once it hears the group's leader, and would wait for its next heartbeat
                    out.heartbeatNow();
                }
                open(info.id()).configure(info.membership(), info.founded(), now);
            } else if (groups.containsKey(info.id()) && groups.get(info.id()).groupVersion() <= info.version()) {
                // why: the group's own log has committed that this node is no member any more, so nothing here counts
                groups.remove(info.id());
                queues.remove(info.id());
                held.remove(info.id());
                interests.remove(info.id());
                out.write(PackedBuffer.writer().num(info.id()).num(DROP).done());
                out.note("group " + info.id() + ": left, in group version " + info.version());
            }
        }
    }

    @Override
    protected void onSynced(final long number, final Time time) {
        for (final GroupMachine g : groups.values()) {
            g.synced(number, time.mono());
            after(g, time.mono());
        }
    }

    // ---- publishing

    private void publish(final int from, final Publish m, final Time time) {
        final long now = time.mono();
        final GroupMachine g = groups.get(m.group());
        if (g == null || g.role() != GroupMachine.LEADER) {
            reply(from, m.requestId(), NOT_LEADER, 0, g == null ? 0 : g.leaderHeard(), "not the master");
            return;
        }
        final GroupInfo info = info(m.group());
        final Configuration.Space space = client.configuration().spaceOf(m.topic());
        final String busy = !client.leased(now)
                ? "spec lease has run out"
                : client.configuration().version() < m.configurationVersion() || space == null
                        ? "spec is older than the front's"
                        : !g.mayAct(now)
                                ? "master has no lease yet"
                                : g.diskBacklogged()
                                        ? "the master's disk takes nothing just now"
                                        : !client.clockKnown()
                                                ? "the fleet's clock is not known yet"
                                                : info == null || !info.founded() ? "group is not founded yet" : null;
        if (busy != null) {
            reply(from, m.requestId(), BUSY, 0, 0, busy);
            return;
        }
        final int need = Quorums.resolve(space.replSize(), g.members().size(), g.active(now), g.floor());
        final long seen = ((TopicState) g.live()).lookUp(m.topic(), m.sender(), m.seq());
        if (seen == TopicState.TOO_LOW) {
            reply(from, m.requestId(), REFUSED_FOR_GOOD, 0, 0, "sequence is below the sender's last");
            return;
        }
        final List<Waiting> queue = queues.computeIfAbsent(g.id(), k -> new ArrayList<>());
        if (queue.size() >= MAX_QUEUE) {
            reply(from, m.requestId(), BUSY, 0, 0, "too many publishes wait for their copies");
            return;
        }
        long index = seen;
        if (seen == TopicState.NEW) {
            if (((TopicState) g.live()).senders() >= MAX_SENDERS) {
                reply(from, m.requestId(), BUSY, 0, 0, "too many senders in the last hour");
                return;
            }
            if (need > g.active(now)) {
                reply(from, m.requestId(), BUSY, 0, 0, "only " + g.active(now) + " of " + need + " copies are active");
                return;
            }
            index = g.append(
                    LogRecord.PUBLISH,
                    LogRecord.publishBody(m.seq(), need, m.tenant(), m.topic(), m.sender(), m.text()),
                    now,
                    client.wall(time));
        }
        // why: a repeat waits for the copies just as the first did, and gets the same position
        queue.add(new Waiting(from, m.requestId(), index, need, now + timing.settleDeadline()));
        after(g, now);
    }

    private void reply(
            final int to,
            final long requestId,
            final int outcome,
            final long position,
            final int hint,
            final String why) {
        out.send(to, new PublishReply(requestId, outcome, position, hint, 0, why));
    }

    /** What a change of the group's committed position or role sets free. */
    private void after(final GroupMachine g, final long now) {
        final List<Waiting> queue = queues.get(g.id());
        if (queue != null && !queue.isEmpty()) {
            // why: asked again right before responding, so that a leader which slept in between does not speak for its
            // successor
            final boolean acts = g.mayAct(now);
            for (final Iterator<Waiting> it = queue.iterator(); it.hasNext(); ) {
                final Waiting w = it.next();
                if (acts && w.index <= g.committed() && (w.index <= g.baseIndex() || g.copies(w.index) >= w.need)) {
                    reply(w.from, w.requestId, ACCEPTED, w.index, 0, "");
                } else if (g.role() != GroupMachine.LEADER) {
                    reply(w.from, w.requestId, UNSETTLED, 0, 0, "the master stepped down");
                } else if (now >= w.deadline) {
                    reply(w.from, w.requestId, UNSETTLED, 0, 0, "not enough copies in time");
                } else {
                    continue;
                }
                it.remove();
            }
        }
        final TreeMap<Integer, HeldFetch> fetches = held.get(g.id());
        if (fetches != null) {
            fetches.values().removeIf(h -> serve(h.from, h.fetch, g, now >= h.deadline, now));
        }
        if (memberships.drive(g, table, now, client.wall(new Time(now, 0)))) {
            out.heartbeatNow();
        }
        tellMembers(g, now);
    }

    // ---- reading

    private void fetch(final int from, final Fetch m, final long now) {
        final GroupMachine g = groups.get(m.group());
        if (g == null || !g.inSync(now) || !client.leased(now)) {
            out.send(from, new FetchReply(m.requestId(), m.group(), FetchReply.NOT_HERE, 0, List.of(), List.of()));
            return;
        }
        if (m.hold()) {
            final TreeMap<Integer, Interest> told = interests.computeIfAbsent(m.group(), k -> new TreeMap<>());
            if (!m.topics().isEmpty()) {
                final Set<String> topics = new HashSet<>();
                m.topics().forEach(t -> topics.add(t.topic()));
                told.put(from, new Interest(m.edition(), topics));
            }
            if (!told.containsKey(from) || told.get(from).edition != m.edition()) {
                out.send(from, new FetchReply(m.requestId(), m.group(), FetchReply.UNTOLD, 0, List.of(), List.of()));
                return;
            }
        }
        if (!serve(from, m, g, !m.hold(), now)) {
            hold(from, m, now);
        }
    }

    /**
     * A gateway that asks anew for other topics is answered by the time of its first question, lest it take this node
     * for silent.
     */
    private void hold(final int from, final Fetch fetch, final long now) {
        final TreeMap<Integer, HeldFetch> ofGroup = held.computeIfAbsent(fetch.group(), k -> new TreeMap<>());
        final HeldFetch replaced = ofGroup.get(from);
        final long deadline = replaced == null ? now + timing.fetchHold() : replaced.deadline;
        ofGroup.put(from, new HeldFetch(from, fetch, deadline));
    }

    private boolean serve(final int to, final Fetch m, final GroupMachine g, final boolean evenEmpty, final long now) {
        if (m.tail()) {
            out.send(to, new FetchReply(m.requestId(), g.id(), FetchReply.OK, g.committed(), List.of(), List.of()));
            return true;
        }
        final TopicState state = (TopicState) g.live();
        final Interest interest = m.hold() ? interests.get(g.id()).get(to) : null;
        final Map<String, Long> from = new HashMap<>();
        long first = m.hold() ? m.at() : Long.MAX_VALUE;
        if (!m.hold()) {
            for (final TopicPosition t : m.topics()) {
                from.put(t.topic(), t.from());
                first = Math.min(first, t.from());
            }
        }
        final List<String> gone = new ArrayList<>();
        if (first < g.baseIndex()) {
            // why: only what lies before the oldest record can be gone, and looking for it costs a walk over all topics
            final long at = first;
            (m.hold() ? interest.topics : from.keySet()).forEach(t -> {
                if (state.gone(t) > from.getOrDefault(t, at)) {
                    gone.add(t);
                }
            });
        }
        final List<LogRecord> found = new ArrayList<>();
        long index = Math.max(first, g.baseIndex());
        int bytes = 0;
        while (index < g.committed() && bytes < FETCH_BYTES) {
            final LogRecord logRecord = g.logRecord(++index);
            if (!g.whole(index)) {
                // why: a read that meets a damaged record starts its mending, and asks the gateway to read elsewhere
                out.send(to, new FetchReply(m.requestId(), g.id(), FetchReply.NOT_HERE, 0, List.of(), List.of()));
                return true;
            }
            if (logRecord.kind() == LogRecord.PUBLISH
                    && (m.hold()
                            ? interest.topics.contains(logRecord.topic())
                            : index > from.getOrDefault(logRecord.topic(), Long.MAX_VALUE))) {
                found.add(logRecord);
                bytes += logRecord.bytes().length;
            }
        }
        if (found.isEmpty() && !g.inSync(now)) {
            // why: at once, not when the hold is over: the gateway has others to ask
            out.send(to, new FetchReply(m.requestId(), g.id(), FetchReply.NOT_HERE, 0, List.of(), List.of()));
            return true;
        }
        if (found.isEmpty() && gone.isEmpty() && !evenEmpty) {
            return false;
        }
        out.send(to, new FetchReply(m.requestId(), g.id(), FetchReply.OK, Math.max(index, first), gone, found));
        return true;
    }

    private void count(final int from, final ListenerCountRequest m, final long now) {
        final GroupMachine g = groups.get(m.group());
        if (g == null || !g.mayAct(now)) {
            out.send(from, new ListenerCountReply(m.requestId(), ListenerCountReply.NOT_HERE, 0));
            return;
        }
        int n = 0;
        for (final Listeners l :
                listeners.getOrDefault(m.group(), new TreeMap<>()).values()) {
            // why: soft state lapses with the heartbeat of the gateway that told it
            n += now - l.heardAt <= timing.listenLapse() ? l.counts.getOrDefault(m.topic(), 0) : 0;
        }
        out.send(from, new ListenerCountReply(m.requestId(), ListenerCountReply.OK, n));
    }

    // ---- for the listener thread and the status page

    @Override
    public List<HeartbeatEntry> entries(final Time time) {
        final List<HeartbeatEntry> list = new ArrayList<>();
        for (final GroupMachine g : groups.values()) {
            if (!g.members().isEmpty()) {
                list.add(g.entry(time.mono()));
            }
        }
        return list;
    }

    @Override
    public Set<Integer> heartbeatPeers() {
        final Set<Integer> nodes = new HashSet<>();
        groups.values().forEach(g -> {
            g.members().forEach(m -> nodes.add(m.node()));
            g.membership().learners().forEach(m -> nodes.add(m.node()));
        });
        nodes.remove(self);
        return nodes;
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
        groups.values().forEach(g -> g.sessionLost(node));
    }

    @Override
    public long restMs(final Time time) {
        return retreat == 0
                        && client.leased(time.mono())
                        && groups.values().stream().allMatch(GroupMachine::calm)
                ? timing.heartbeat() / 2
                : timing.tick();
    }

    @Override
    protected void onRequest(final NodeRequest request, final Time time) {
        if (request instanceof NodeRequest.Adopt j) {
            rollBytes = j.rollBytes();
        } else if (request instanceof NodeRequest.Retreat j) {
            retreat = j.requestId();
        } else if (request instanceof NodeRequest.Status j) {
            out.respond(j.requestId(), new Response(200, 0, statusJson(time)));
        } else if (request instanceof NodeRequest.ReadinessProbe j) {
            out.respond(j.requestId(), ReadinessProbe.response(client.leased(time.mono()), client.draining()));
        }
    }

    @Override
    public Map<Integer, String> zones() {
        return zonesOf(client.metadata());
    }

    @Override
    public String statusJson(final Time time) {
        final JsonArrayBuilder arr = Json.createArrayBuilder();
        groups.values().forEach(g -> arr.add(GroupStatus.json(g, table, time.mono())));
        return Json.createObjectBuilder()
                .add("node", self)
                .add("role", "storage")
                .add("specVersion", client.configuration().version())
                .add("rosterVersion", client.metadata().version())
                .add("specLeaseLeftMs", Math.max(0, client.leaseUntil() - time.mono()))
                .add("controlMaster", client.controlLeader())
                .add("groups", arr)
                .build()
                .toString();
    }
}
