package brookpath.coordination.node;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.Tempo;
import brookpath.coordination.message.Msg;
import brookpath.coordination.message.Msg.BeatEntry;
import brookpath.coordination.message.Msg.CountAsk;
import brookpath.coordination.message.Msg.CountReply;
import brookpath.coordination.message.Msg.Fetch;
import brookpath.coordination.message.Msg.FetchReply;
import brookpath.coordination.message.Msg.Listen;
import brookpath.coordination.message.Msg.Publish;
import brookpath.coordination.message.Msg.PublishReply;
import brookpath.coordination.message.Msg.SpecPoll;
import brookpath.coordination.message.Msg.SpecReply;
import brookpath.coordination.message.Msg.TopicAt;
import brookpath.coordination.message.Msg.TopicCount;
import brookpath.coordination.message.Response;
import brookpath.coordination.path.Path;
import brookpath.coordination.path.PathFinder;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Spec;
import brookpath.coordination.spec.SpecClient;
import brookpath.state.record.Rec;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** A front machine of the data plane: holds the callers' sessions. */
public final class FrontNode extends Node {
    public static final int MAX_TEXT = 4096;
    public static final int MAX_TOPICS = 64;
    private static final int MAX_FERRIES = 4_096;
    private static final int MAX_SESSIONS = 8_192;

    private static final class Ferry {
        final Job.Publish job;
        final Path path;
        final long horizon;
        final boolean again;

        Ferry(final Job.Publish job, final Path path, final long horizon, final boolean again) {
            this.job = job;
            this.path = path;
            this.horizon = horizon;
            this.again = again;
        }
    }

    private record CountJob(long jobId, int node, long horizon, boolean leaveOut) {
    }

    /** The shared reading of one group: each topic is fetched once, however many sessions listen. */
    private static final class Feed {
        final int group;
        final TreeMap<String, Integer> topics = new TreeMap<>();
        final TreeSet<Long> sessions = new TreeSet<>();
        long at = -1;
        long fetchId;
        int source;
        long sentAt;
        boolean widened;
        long edition;
        int toldTo;
        long toldAt;
        Map<String, Integer> told = Map.of();

        Feed(final int group) {
            this.group = group;
        }
    }

    /** A session's part in one group: catching up alone until it meets the feed. */
    private static final class Part {
        final int group;
        final List<String> topics = new ArrayList<>();
        boolean live;
        boolean tail;
        long fetchId;
        int source;
        long sentAt;

        Part(final int group) {
            this.group = group;
        }
    }

    private static final class Session {
        final long id;
        final String key;
        final TreeMap<String, Long> at = new TreeMap<>();
        final TreeMap<Integer, Part> parts = new TreeMap<>();
        final long horizon;
        boolean begun;
        long lastLineAt;
        long leaveAt = Long.MAX_VALUE;

        Session(final long id, final String key, final long horizon) {
            this.id = id;
            this.key = key;
            this.horizon = horizon;
        }
    }

    private record Asked(long sessionId, int group) {
    }

    private final String zone;
    private final SpecClient client;
    private final TreeMap<Long, Ferry> ferries = new TreeMap<>();
    private final TreeMap<Long, CountJob> counts = new TreeMap<>();
    private final TreeMap<Long, Session> sessions = new TreeMap<>();
    private final TreeMap<Integer, Feed> feeds = new TreeMap<>();
    private final TreeMap<Long, Asked> asked = new TreeMap<>();
    private long ids;
    private long nextListen;

    public FrontNode(final int self, final String zone, final List<Integer> seeds, final Tempo tempo, final long firstId) {
        super(self, tempo);
        this.zone = zone;
        // why: a reply meant for a former life of this process must not match a job of this one
        ids = firstId;
        client = new SpecClient(self, SpecPoll.FRONT, zone, "", seeds, tempo, out);
    }

    public SpecClient client() {
        return client;
    }

    private PathFinder paths(final long now) {
        return new PathFinder(client.spec(), client.roster(), table, client.leased(now), zone, tempo);
    }

    @Override
    public void replay(final byte[] entry, final Time time) {
        throw new IllegalStateException("a front keeps nothing on disk");
    }

    // ---- wakeups

    @Override
    protected void onTick(final Time time) {
        final long now = time.mono();
        client.tick(time);
        for (final Iterator<Map.Entry<Long, Ferry>> it = ferries.entrySet().iterator(); it.hasNext();) {
            final Ferry f = it.next().getValue();
            if (now >= f.horizon) {
                it.remove();
                unsettled(f.job.jobId(), "no word from the master in time");
            }
        }
        counts.values().removeIf(c -> {
            if (now >= c.horizon) {
                busy(c.jobId, "count", "no word from the master in time");
            }
            return now >= c.horizon;
        });
        if (client.leased(now)) {
            for (final Session s : new ArrayList<>(sessions.values())) {
                wake(s, now);
            }
            feeds.values().forEach(f -> feed(f, now));
        }
        if (now >= nextListen) {
            nextListen = now + tempo.beat();
            listen(now);
        }
    }

    private void wake(final Session s, final long now) {
        if (!s.begun && now >= s.horizon) {
            drop(s);
            busy(s.id, "history", "no member in sync could be read in time");
            return;
        }
        if (s.begun && now >= s.leaveAt) {
            drop(s);
            out.close(s.id, "this node drains; go on elsewhere with the cursor");
            return;
        }
        for (final Part p : s.parts.values()) {
            if (!p.live && (p.fetchId == 0 || now - p.sentAt > tempo.down())) {
                catchUp(s, p, now);
            }
        }
        if (s.begun && now - s.lastLineAt >= tempo.keepAlive()) {
            line(s, Json.createObjectBuilder().add("type", "alive").add("cursor", Cursor.write(s.at)).build().toString(), now);
        }
    }

    /** Tells each group's master who listens: whole when that or the master has changed, else only that it is still so. */
    private void listen(final long now) {
        final PathFinder paths = paths(now);
        for (final Feed f : feeds.values()) {
            final Path path = paths.toMaster(new Path(null, "", f.group, 0, ""), now);
            if (path.refusal() != null) {
                continue;
            }
            final boolean same = f.toldTo == path.node() && f.told.equals(f.topics) && now - f.toldAt < tempo.keepAlive();
            final List<TopicCount> list = new ArrayList<>();
            if (!same) {
                f.edition = ++ids;
                f.toldTo = path.node();
                f.toldAt = now;
                f.told = Map.copyOf(f.topics);
                f.topics.forEach((topic, n) -> list.add(new TopicCount(topic, n)));
            }
            out.send(path.node(), new Listen(f.group, f.edition, same, list));
        }
    }

    // ---- messages

    @Override
    protected void onMessage(final int from, final Msg msg, final Time time) {
        final long now = time.mono();
        if (msg instanceof SpecReply m) {
            if (client.onReply(m, time)) {
                closeUnasked(now);
            }
        } else if (msg instanceof PublishReply m) {
            published(m, now);
        } else if (msg instanceof FetchReply m) {
            fetched(from, m, now);
        } else if (msg instanceof CountReply m) {
            final CountJob c = counts.remove(m.jobId());
            if (c != null && m.status() == CountReply.OK) {
                final int others = Math.max(0, m.count() - (c.leaveOut ? 1 : 0));
                out.respond(c.jobId, new Response(200, 0, "{\"listeners\":" + others + "}"));
            } else if (c != null) {
                busy(c.jobId, "master", "the master has no lease just now");
            }
        }
    }

    /** A key or a space that a new spec took away ends its sessions at once. */
    private void closeUnasked(final long now) {
        final PathFinder paths = paths(now);
        for (final Session s : new ArrayList<>(sessions.values())) {
            for (final String topic : s.at.keySet()) {
                final Path path = paths.admit(s.key, topic);
                final boolean moved = path.refusal() == null && !s.parts.containsKey(path.group());
                if (path.refusal() != null && path.refusal().status() != 503 || moved) {
                    drop(s);
                    if (s.begun) {
                        out.close(s.id, moved ? "topic moved" : path.because());
                    } else {
                        out.respond(s.id, moved ? Ready.response(false, false) : path.refusal());
                    }
                    break;
                }
            }
        }
    }

    // ---- jobs

    @Override
    protected void onJob(final Job job, final Time time) {
        final long now = time.mono();
        if (job instanceof Job.Publish j) {
            publish(j, now);
        } else if (job instanceof Job.Subscribe j) {
            subscribe(j, now);
        } else if (job instanceof Job.Unsubscribe j) {
            final Session s = sessions.get(j.sessionId());
            if (s != null) {
                drop(s);
            }
        } else if (job instanceof Job.Count j) {
            final Path path = paths(now).publish(j.key(), j.topic(), now);
            if (path.refusal() != null) {
                out.respond(j.jobId(), path.refusal());
                return;
            }
            if (counts.size() >= MAX_FERRIES) {
                busy(j.jobId(), "busy", "too many counts are under way here");
                return;
            }
            counts.put(++ids, new CountJob(j.jobId(), path.node(), now + tempo.ferryHorizon(), leaveOut(j)));
            out.send(path.node(), new CountAsk(ids, path.group(), j.topic()));
        } else if (job instanceof Job.Explain j) {
            out.respond(j.jobId(), new Response(200, 0, explain(j, now)));
        } else if (job instanceof Job.Ready j) {
            out.respond(j.jobId(), Ready.response(client.leased(now), client.draining()));
        } else if (job instanceof Job.Drain j) {
            client.drain(j.on());
            int i = 0;
            for (final Session s : sessions.values()) {
                // why: spread, so that the other fronts are not met by all at once
                s.leaveAt = j.on() ? now + tempo.recoverMs() / 2 * i++ / sessions.size() : Long.MAX_VALUE;
            }
            out.respond(j.jobId(), new Response(200, 0, "{\"draining\":" + j.on() + "}"));
        } else if (job instanceof Job.Status j) {
            out.respond(j.jobId(), new Response(200, 0, statusJson(time)));
        }
    }

    private String explain(final Job.Explain j, final long now) {
        final PathFinder paths = paths(now);
        final Path path = paths.publish(j.key(), j.topic(), now);
        final Path admitted = paths.admit(j.key(), j.topic());
        final var obj = Json.createObjectBuilder().add("node", self).add("topic", j.topic()).add("specVersion", client.spec().version())
                .add("specLeaseLeftMs", Math.max(0, client.leaseUntil() - now)).add("because", path.because())
                .add("status", path.refusal() == null ? 200 : path.refusal().status()).add("group", admitted.group()).add("master", path.node());
        if (admitted.group() >= 0) {
            obj.add("readsFrom", paths.nearest(admitted.group(), 0, now));
            final JsonArrayBuilder seen = Json.createArrayBuilder();
            client.roster().groups().get(admitted.group()).members().forEach(m -> seen.add(GroupStatus.row(m, table, admitted.group(), now, false)));
            obj.add("table", seen);
        }
        return obj.build().toString();
    }

    private boolean leaveOut(final Job.Count j) {
        if (j.session() == null || !j.session().startsWith(self + "-")) {
            return j.session() != null && !j.session().isEmpty();
        }
        final Session s = sessions.get(Long.parseLong(j.session().substring(j.session().indexOf('-') + 1)));
        return s != null && s.at.containsKey(j.topic());
    }

    private void publish(final Job.Publish j, final long now) {
        final Path path = paths(now).publish(j.key(), j.topic(), now);
        if (path.refusal() != null) {
            ended(j, "refused with " + path.refusal().status() + ", " + path.because());
            out.respond(j.jobId(), path.refusal());
            return;
        }
        if (ferries.size() >= MAX_FERRIES) {
            busy(j.jobId(), "busy", "too many publishes are under way here");
            return;
        }
        ferry(j, path, now + tempo.ferryHorizon(), false);
    }

    private void ferry(final Job.Publish j, final Path path, final long horizon, final boolean again) {
        ferries.put(++ids, new Ferry(j, path, horizon, again));
        out.send(path.node(), new Publish(ids, path.group(), client.spec().version(), j.seq(), path.tenant(), j.topic(), j.sender(), j.text()));
    }

    private void published(final PublishReply m, final long now) {
        final Ferry f = ferries.remove(m.jobId());
        if (f == null) {
            return;
        }
        if (m.outcome() != PublishReply.ACCEPTED) {
            ended(f.job, "node " + f.path.node() + " said " + m.why() + "; it went there because " + f.path.because());
        }
        switch (m.outcome()) {
            case PublishReply.ACCEPTED -> out.respond(f.job.jobId(), new Response(200, 0,
                    "{\"outcome\":\"accepted\",\"position\":" + m.position() + "}"));
            case PublishReply.REFUSED_FOR_GOOD -> out.respond(f.job.jobId(), new Response(409, 0, outcome("refused", "sequence", m.why())));
            case PublishReply.UNSETTLED -> unsettled(f.job.jobId(), m.why());
            case PublishReply.NOT_MASTER -> {
                // why: nothing was appended, so another go is safe; one, to the node that the refusal names
                if (!f.again && m.masterHint() != 0 && m.masterHint() != f.path.node() && client.leased(now)) {
                    ferry(f.job, new Path(null, f.path.tenant(), f.path.group(), m.masterHint(), f.path.because()), f.horizon, true);
                } else {
                    busy(f.job.jobId(), "master", "group " + f.path.group() + " has no master just now");
                }
            }
            default -> busy(f.job.jobId(), "master", m.why());
        }
    }

    @Override
    protected void onUnsent(final int to, final Msg msg, final Time time) {
        if (msg instanceof SpecPoll) {
            client.unsent(to, time.mono());
        } else if (msg instanceof Publish m) {
            final Ferry f = ferries.remove(m.jobId());
            if (f != null) {
                // why: it never left, so it is certainly in no log
                busy(f.job.jobId(), "master", "no session to node " + to);
            }
        } else if (msg instanceof Fetch m) {
            feeds.values().stream().filter(f -> f.fetchId == m.jobId()).forEach(f -> f.sentAt = elsewhere(time.mono()));
            final Asked ask = asked.get(m.jobId());
            if (ask != null && sessions.containsKey(ask.sessionId)) {
                sessions.get(ask.sessionId).parts.get(ask.group).sentAt = elsewhere(time.mono());
            }
        } else if (msg instanceof Listen m && feeds.containsKey(m.group())) {
            feeds.get(m.group()).toldTo = 0;
        } else if (msg instanceof CountAsk m) {
            final CountJob c = counts.remove(m.jobId());
            if (c != null) {
                busy(c.jobId, "master", "no session to node " + to);
            }
        }
    }

    @Override
    protected void onSessionLost(final int node, final Time time) {
        client.unsent(node, time.mono());
        ferries.values().removeIf(f -> {
            if (f.path.node() == node) {
                unsettled(f.job.jobId(), "the session with node " + node + " broke");
            }
            return f.path.node() == node;
        });
        feeds.values().forEach(f -> {
            f.fetchId = f.source == node ? 0 : f.fetchId;
            // why: what was told on the broken session may not have arrived
            f.toldTo = f.toldTo == node ? 0 : f.toldTo;
        });
        sessions.values().forEach(s -> s.parts.values().forEach(p -> {
            if (p.source == node) {
                asked.remove(p.fetchId);
                p.fetchId = 0;
            }
        }));
    }

    private void ended(final Job.Publish j, final String how) {
        // why: the ring is what is left to explain a job from afterwards; accepted ones explain themselves
        out.note("publish " + j.topic() + " " + j.sender() + "/" + j.seq() + ": " + how);
    }

    private void busy(final long jobId, final String code, final String why) {
        out.respond(jobId, new Response(503, tempo.retryAfterMs(), outcome("refused", code, why)));
    }

    private void unsettled(final long jobId, final String why) {
        out.respond(jobId, new Response(504, tempo.retryAfterMs(), outcome("unsettled", "unsettled", why)));
    }

    private static String outcome(final String outcome, final String code, final String why) {
        return Json.createObjectBuilder().add("outcome", outcome).add("code", code).add("why", why).build().toString();
    }

    // ---- subscriptions

    private void subscribe(final Job.Subscribe j, final long now) {
        final Map<String, Long> cursor = Cursor.read(j.cursor());
        if (cursor == null || j.topics().isEmpty() || j.topics().size() > MAX_TOPICS) {
            out.respond(j.jobId(), new Response(400, 0, outcome("refused", cursor == null ? "cursor" : "topics",
                    cursor == null ? "not a cursor of this service" : "1 to " + MAX_TOPICS + " topics are needed")));
            return;
        }
        if (client.draining()) {
            busy(j.jobId(), "draining", "this node drains; another takes new sessions");
            return;
        }
        if (sessions.size() >= MAX_SESSIONS) {
            busy(j.jobId(), "busy", "this node holds as many sessions as it may");
            return;
        }
        final Session s = new Session(j.jobId(), j.key(), now + tempo.deliverMs());
        final PathFinder paths = paths(now);
        for (final String topic : new LinkedHashSet<>(j.topics())) {
            final Path path = paths.admit(j.key(), topic);
            if (path.refusal() != null) {
                out.respond(j.jobId(), path.refusal());
                return;
            }
            s.parts.computeIfAbsent(path.group(), Part::new).topics.add(topic);
            s.at.put(topic, cursor.getOrDefault(topic, -1L));
        }
        sessions.put(s.id, s);
        for (final Part p : s.parts.values()) {
            final Feed f = feeds.computeIfAbsent(p.group, Feed::new);
            p.topics.forEach(t -> {
                // why: a fetch under way does not look for a new topic, so the feed must ask again from where it stands
                f.widened |= f.topics.merge(t, 1, Integer::sum) == 1;
            });
            catchUp(s, p, now);
            feed(f, now);
        }
    }

    private void drop(final Session s) {
        sessions.remove(s.id);
        for (final Part p : s.parts.values()) {
            asked.remove(p.fetchId);
            final Feed f = feeds.get(p.group);
            f.sessions.remove(s.id);
            p.topics.forEach(t -> f.topics.computeIfPresent(t, (k, n) -> n == 1 ? null : n - 1));
            if (f.topics.isEmpty()) {
                feeds.remove(p.group);
            }
        }
    }

    private void catchUp(final Session s, final Part p, final long now) {
        asked.remove(p.fetchId);
        final int node = paths(now).nearest(p.group, p.fetchId == 0 ? 0 : p.source, now);
        p.fetchId = 0;
        p.tail = p.topics.stream().anyMatch(t -> s.at.get(t) < 0);
        // why: a cursor must name every topic, so no line goes out before all positions are known
        if (node == 0 || !p.tail && s.at.containsValue(-1L)) {
            return;
        }
        p.fetchId = ++ids;
        p.source = node;
        p.sentAt = now;
        asked.put(p.fetchId, new Asked(s.id, p.group));
        final List<TopicAt> topics = new ArrayList<>();
        if (!p.tail) {
            p.topics.forEach(t -> topics.add(new TopicAt(t, s.at.get(t))));
        }
        out.send(node, new Fetch(p.fetchId, p.group, p.tail, false, topics));
    }

    private void feed(final Feed f, final long now) {
        // why: a member that is down will not respond, so its beats say earlier than a horizon that another is to be asked
        final boolean waits = f.fetchId != 0 && now - f.sentAt <= 6 * tempo.pullHold() && table.up(f.source);
        if (f.at < 0 || waits && !f.widened) {
            return;
        }
        final int node = paths(now).nearest(f.group, f.fetchId == 0 || f.widened ? 0 : f.source, now);
        if (node == 0) {
            f.fetchId = 0;
            return;
        }
        f.widened = false;
        f.fetchId = ++ids;
        f.source = node;
        f.sentAt = now;
        final List<TopicAt> topics = new ArrayList<>();
        f.topics.keySet().forEach(t -> topics.add(new TopicAt(t, f.at)));
        out.send(node, new Fetch(f.fetchId, f.group, false, true, topics));
    }

    private void fetched(final int from, final FetchReply m, final long now) {
        if (!client.leased(now)) {
            // why: delivery pauses with the lease; the cursors stay where they are
            return;
        }
        final Feed f = feeds.get(m.group());
        if (f != null && f.fetchId == m.jobId()) {
            if (m.status() != FetchReply.OK) {
                f.sentAt = elsewhere(now);
                return;
            }
            f.fetchId = 0;
            if (!m.gone().isEmpty()) {
                // why: the feed stood still for longer than history is kept; a resume says to each session what it missed
                for (final long id : new ArrayList<>(f.sessions)) {
                    final Session s = sessions.get(id);
                    if (s.parts.get(m.group()).topics.stream().anyMatch(m.gone()::contains)) {
                        drop(s);
                        out.close(id, "history after the cursor is no longer kept");
                    }
                }
            }
            for (final long id : new ArrayList<>(f.sessions)) {
                final Session s = sessions.get(id);
                if (s != null) {
                    hand(s, s.parts.get(m.group()), m.recs(), now);
                }
            }
            f.at = Math.max(f.at, m.scannedTo());
            feed(f, now);
            return;
        }
        final Asked ask = asked.remove(m.jobId());
        final Session s = ask == null ? null : sessions.get(ask.sessionId);
        final Part p = s == null ? null : s.parts.get(ask.group);
        if (p == null || p.fetchId != m.jobId()) {
            return;
        }
        if (m.status() != FetchReply.OK) {
            p.sentAt = elsewhere(now);
            return;
        }
        p.fetchId = 0;
        if (p.tail) {
            p.topics.forEach(t -> s.at.merge(t, m.scannedTo(), (was, tail) -> was < 0 ? tail : was));
            if (!s.at.containsValue(-1L)) {
                s.parts.values().forEach(q -> catchUp(s, q, now));
            }
            return;
        } else if (!m.gone().isEmpty()) {
            drop(s);
            final String json = Json.createObjectBuilder().add("outcome", "gone").add("code", "gone")
                    .add("why", "history after the cursor is no longer kept").add("topics", Json.createArrayBuilder(m.gone())).build().toString();
            if (s.begun) {
                out.close(s.id, "history after the cursor is no longer kept");
            } else {
                out.respond(s.id, new Response(410, 0, json));
            }
            return;
        } else {
            if (!s.begun) {
                s.begun = true;
                s.lastLineAt = now;
                out.respond(s.id, new Response(200, 0, Json.createObjectBuilder().add("type", "hello")
                        .add("session", self + "-" + s.id).build().toString()));
            }
            hand(s, p, m.recs(), now);
            p.topics.forEach(t -> s.at.merge(t, m.scannedTo(), Math::max));
            final Feed feed = feeds.get(p.group);
            if (feed.at < 0) {
                feed.at = m.scannedTo();
            }
            if (m.scannedTo() >= feed.at && !feed.widened) {
                // why: whatever comes after this position comes through the feed, which asks for these topics already
                p.live = true;
                feed.sessions.add(s.id);
                if (s.parts.values().stream().allMatch(q -> q.live)) {
                    line(s, Json.createObjectBuilder().add("type", "alive").add("cursor", Cursor.write(s.at)).build().toString(), now);
                }
                feed(feed, now);
                return;
            }
            feed(feed, now);
        }
        catchUp(s, p, now);
    }

    /** A sending time so old that the next wakeup asks another member. */
    private long elsewhere(final long now) {
        return now - tempo.deliverMs();
    }

    private void hand(final Session s, final Part p, final List<Rec> recs, final long now) {
        for (final Rec rec : recs) {
            final String topic = rec.topic();
            final Long at = p.topics.contains(topic) ? s.at.get(topic) : null;
            if (at == null || rec.lsn() <= at) {
                continue;
            }
            s.at.put(topic, rec.lsn());
            line(s, Json.createObjectBuilder().add("type", "message").add("topic", topic).add("position", rec.lsn())
                    .add("sender", rec.sender()).add("sequence", rec.seq()).add("message", rec.text())
                    .add("cursor", Cursor.write(s.at)).build().toString(), now);
        }
    }

    private void line(final Session s, final String json, final long now) {
        s.lastLineAt = now;
        out.deliver(s.id, (json + "\n").getBytes(UTF_8));
    }

    // ---- for the listener thread and the status page

    @Override
    protected void onSynced(final long number, final Time time) {
        // why: nothing is written here
    }

    @Override
    public List<BeatEntry> entries(final Time time) {
        return List.of();
    }

    @Override
    public Set<Integer> beatSiblings() {
        final Set<Integer> nodes = new HashSet<>();
        client.roster().groups().forEach(g -> g.members().forEach(m -> nodes.add(m.node())));
        return nodes;
    }

    @Override
    public Map<Integer, String> zones() {
        return zonesOf(client.roster());
    }

    @Override
    public String statusJson(final Time time) {
        final PathFinder paths = paths(time.mono());
        final JsonArrayBuilder arr = Json.createArrayBuilder();
        for (final Roster.GroupInfo g : client.roster().groups()) {
            final Path path = paths.toMaster(new Path(null, "", g.id(), 0, "group " + g.id()), time.mono());
            arr.add(Json.createObjectBuilder().add("group", g.id()).add("master", path.node()).add("why", path.because())
                    .add("readsFrom", paths.nearest(g.id(), 0, time.mono())).add("founded", g.founded()));
        }
        final Spec spec = client.spec();
        return Json.createObjectBuilder().add("node", self).add("role", "front").add("zone", zone).add("specVersion", spec.version())
                .add("rosterVersion", client.roster().version()).add("specLeaseLeftMs", Math.max(0, client.leaseUntil() - time.mono()))
                .add("controlMaster", client.controlMaster()).add("draining", client.draining()).add("sessions", sessions.size())
                .add("ferries", ferries.size()).add("groups", arr).build().toString();
    }
}
