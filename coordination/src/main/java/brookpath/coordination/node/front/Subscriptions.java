package brookpath.coordination.node.front;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Msg.Fetch;
import brookpath.coordination.message.Msg.FetchReply;
import brookpath.coordination.message.Msg.Listen;
import brookpath.coordination.message.Msg.TopicAt;
import brookpath.coordination.message.Msg.TopicCount;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.Cursor;
import brookpath.coordination.node.Job;
import brookpath.coordination.node.front.Session.Part;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder;
import brookpath.state.record.Rec;
import jakarta.json.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/** The callers' sessions of a front: what they listen to, how far each is, and the fetches that bring it. */
public final class Subscriptions {
    private static final int MOST_SESSIONS = 8_192;

    private record Asked(long sessionId, Part part) {}

    private final int self;
    private final IntSupplier mostTopics;
    private final Tempo tempo;
    private final LongFunction<RouteFinder> routes;
    private final LongSupplier ids;
    private final Actions out;
    private final TreeMap<Long, Session> sessions = new TreeMap<>();
    private final TreeMap<Integer, Feed> feeds = new TreeMap<>();
    private final Map<Long, Asked> asked = new HashMap<>();
    /** Sessions that a wakeup has something to do for: whole ones, and those with a topic that is not live yet. */
    private final TreeSet<Long> wakeful = new TreeSet<>();
    /** Nodes that did not respond to a fetch, and until when others are asked first. */
    private final Map<Integer, Long> shunned = new HashMap<>();

    /** @param mostTopics of one session */
    public Subscriptions(
            final int self,
            final IntSupplier mostTopics,
            final Tempo tempo,
            final LongFunction<RouteFinder> routes,
            final LongSupplier ids,
            final Actions out) {
        this.self = self;
        this.mostTopics = mostTopics;
        this.tempo = tempo;
        this.routes = routes;
        this.ids = ids;
        this.out = out;
    }

    public int size() {
        return sessions.size();
    }

    /** Whether something waits for a wakeup rather than for an answer. */
    public boolean restless() {
        return !wakeful.isEmpty() || feeds.values().stream().anyMatch(f -> f.fetchId == 0);
    }

    public boolean listens(final long sessionId, final String topic) {
        final Session s = sessions.get(sessionId);
        return s != null && s.part(topic) != null;
    }

    // ---- sessions

    public void open(final Job.Open j, final long now) {
        if (sessions.size() >= MOST_SESSIONS) {
            busy(j.jobId(), "busy", "this node holds as many sessions as it may");
            return;
        }
        final Session s = new Session(j.jobId(), j.key(), false, Long.MAX_VALUE);
        s.begun = true;
        sessions.put(s.id, s);
        out.respond(s.id, new Response(200, 0, "{}"));
    }

    /** A topic more; the response, once its position is known, is the cursor. */
    public void join(final Job.Join j, final long now) {
        final Session s = sessions.get(j.sessionId());
        final long at = j.cursor() == null ? -1 : Cursor.readOne(j.cursor());
        if (s == null || (j.cursor() != null && at < 0)) {
            out.respond(
                    j.jobId(),
                    new Response(
                            400,
                            0,
                            Ferries.outcome(
                                    "refused",
                                    "cursor",
                                    s == null ? "no such session" : "not a cursor of this service"),
                            "cursor"));
            return;
        }
        if (s.part(j.topic()) == null && s.topics() >= mostTopics.getAsInt()) {
            out.respond(
                    j.jobId(),
                    new Response(
                            400,
                            0,
                            Ferries.outcome("refused", "topics", "more than " + mostTopics.getAsInt() + " topics"),
                            "topics"));
            return;
        }
        final Route route = routes.apply(now).admit(s.key, j.topic());
        if (route.refusal() != null) {
            out.respond(j.jobId(), route.refusal());
            return;
        }
        if (s.part(j.topic()) != null) {
            // why: asked anew, it begins anew, at the cursor that is asked for
            unlisten(s, s.part(j.topic()));
        }
        final Part p = new Part(route.group(), j.jobId(), now + tempo.deliverMs() / 2);
        p.at.put(j.topic(), at);
        listen(s, p);
        catchUp(s, p, now);
        feed(feeds.get(p.group), now);
    }

    public void leave(final Job.Leave j, final long now) {
        final Session s = sessions.get(j.sessionId());
        final Part p = s == null ? null : s.part(j.topic());
        if (p != null) {
            unlisten(s, p);
        }
        out.respond(j.jobId(), new Response(200, 0, "{}"));
    }

    /** All topics at once, with one cursor over them. */
    public void subscribe(final Job.Subscribe j, final Map<String, Long> cursor, final long now) {
        if (cursor == null || j.topics().isEmpty() || j.topics().size() > mostTopics.getAsInt()) {
            out.respond(
                    j.jobId(),
                    new Response(
                            400,
                            0,
                            Ferries.outcome(
                                    "refused",
                                    cursor == null ? "cursor" : "topics",
                                    cursor == null
                                            ? "not a cursor of this service"
                                            : "1 to " + mostTopics.getAsInt() + " topics are needed")));
            return;
        }
        if (sessions.size() >= MOST_SESSIONS) {
            busy(j.jobId(), "busy", "this node holds as many sessions as it may");
            return;
        }
        final Session s = new Session(j.jobId(), j.key(), true, now + tempo.deliverMs());
        final RouteFinder finder = routes.apply(now);
        // why: topics of one group are read together, for a space may promise one order over all its topics
        final TreeMap<Integer, Part> parts = new TreeMap<>();
        for (final String topic : new LinkedHashSet<>(j.topics())) {
            final Route route = finder.admit(j.key(), topic);
            if (route.refusal() != null) {
                out.respond(j.jobId(), route.refusal());
                return;
            }
            parts.computeIfAbsent(route.group(), g -> new Part(g, 0, s.horizon))
                    .at
                    .put(topic, cursor.getOrDefault(topic, -1L));
        }
        sessions.put(s.id, s);
        parts.values().forEach(p -> listen(s, p));
        for (final Part p : parts.values()) {
            catchUp(s, p, now);
            feed(feeds.get(p.group), now);
        }
    }

    public void end(final long sessionId) {
        final Session s = sessions.get(sessionId);
        if (s != null) {
            drop(s);
        }
    }

    private void listen(final Session s, final Part p) {
        s.add(p);
        wakeful.add(s.id);
        final Feed f = feeds.computeIfAbsent(p.group, Feed::new);
        p.at.keySet().forEach(topic -> {
            if (f.add(topic)) {
                f.edition = ids.getAsLong();
            }
        });
    }

    private void unlisten(final Session s, final Part p) {
        s.remove(p);
        asked.remove(p.fetchId);
        final Feed f = feeds.get(p.group);
        p.at.keySet().forEach(topic -> {
            if (f.remove(topic, s.id)) {
                // why: what is read too much does no harm until the next fetch, which says what is wanted then
                f.edition = ids.getAsLong();
            }
        });
        if (f.idle()) {
            feeds.remove(p.group);
        }
    }

    private void drop(final Session s) {
        sessions.remove(s.id);
        wakeful.remove(s.id);
        s.parts().forEach(p -> unlisten(s, p));
    }

    /** A key or a space that a new spec took away ends what stood on it at once. */
    public void reconsider(final long now) {
        final RouteFinder finder = routes.apply(now);
        for (final Session s : new ArrayList<>(sessions.values())) {
            reconsider(s, finder);
        }
    }

    private void reconsider(final Session s, final RouteFinder finder) {
        for (final Part p : s.parts()) {
            for (final String topic : p.at.keySet()) {
                final Route route = finder.admit(s.key, topic);
                final boolean moved = route.refusal() == null && p.group != route.group();
                if ((route.refusal() != null && route.refusal().status() != 503) || moved) {
                    if (end(s, p, moved, route)) {
                        return;
                    }
                    break;
                }
            }
        }
    }

    /** True where the whole session ended with it. */
    private boolean end(final Session s, final Part p, final boolean moved, final Route route) {
        final Response why = moved
                ? new Response(
                        503, tempo.retryAfterMs(), Ferries.outcome("refused", "moved", "the topic moved"), "moved")
                : route.refusal();
        if (!s.whole) {
            ended(s, p, why);
            return false;
        }
        drop(s);
        if (s.begun) {
            out.close(s.id, moved ? "topic moved" : route.because());
        } else {
            out.respond(s.id, why);
        }
        return true;
    }

    /** A topic that was joined by itself is no longer listened to. */
    private void ended(final Session s, final Part p, final Response why) {
        unlisten(s, p);
        if (p.answerTo != 0) {
            out.respond(p.answerTo, why);
        } else {
            out.ended(s.id, p.topic(), why);
        }
    }

    // ---- leaving

    /** Spreads the sessions' ends over the time, so that the other fronts are not met by all at once. */
    public void drain(final boolean on, final long over, final long now) {
        int i = 0;
        for (final Session s : sessions.values()) {
            s.leaveAt = on ? now + over * i++ / sessions.size() : Long.MAX_VALUE;
        }
    }

    /**
     * Sends on whose time has come.
     *
     * @param elsewhere other fronts' addresses for callers
     */
    public void sendOn(final List<String> elsewhere, final long now) {
        for (final Session s : new ArrayList<>(sessions.values())) {
            if (!s.begun || now < s.leaveAt) {
                continue;
            }
            drop(s);
            if (s.whole) {
                out.close(s.id, "this node drains; go on elsewhere with the cursor");
            } else {
                out.move(
                        s.id,
                        elsewhere.isEmpty()
                                ? ""
                                : elsewhere.get((int) Math.floorMod(ids.getAsLong(), (long) elsewhere.size())));
            }
        }
    }

    // ---- wakeups

    public void tick(final long now) {
        shunned.values().removeIf(until -> now >= until);
        for (final long id : new ArrayList<>(wakeful)) {
            wake(sessions.get(id), now);
        }
        feeds.values().forEach(f -> feed(f, now));
    }

    private void wake(final Session s, final long now) {
        if (!s.begun && now >= s.horizon) {
            drop(s);
            busy(s.id, "history", "no member in sync could be read in time");
            return;
        }
        for (final Part p : s.parts()) {
            if (p.answerTo != 0 && now >= p.horizon) {
                unlisten(s, p);
                busy(p.answerTo, "history", "no member in sync could be read in time");
            } else if (!p.live && (p.fetchId == 0 || now - p.sentAt > tempo.down())) {
                if (p.fetchId != 0) {
                    shun(p.source, now);
                }
                catchUp(s, p, now);
            }
        }
        if (!s.whole && s.allLive()) {
            wakeful.remove(s.id);
        }
        if (s.whole && s.begun && now - s.lastLineAt >= tempo.keepAlive()) {
            alive(s, now);
        }
    }

    private void shun(final int node, final long now) {
        shunned.put(node, now + tempo.recoverMs() / 4);
    }

    private int nearest(final int group, final long now) {
        return routes.apply(now).nearest(group, shunned::containsKey, now);
    }

    // ---- fetches

    private void catchUp(final Session s, final Part p, final long now) {
        asked.remove(p.fetchId);
        p.fetchId = 0;
        final Feed f = feeds.get(p.group);
        if (!s.whole && f.at >= 0 && (p.position() < 0 || p.position() >= f.at)) {
            // why: the feed asks for this topic from its own position, so nothing between is missed and nothing needs
            // to be asked
            goLive(s, p, f, f.at, now);
            return;
        }
        final int node = nearest(p.group, now);
        p.tail = !p.knowsPositions();
        // why: a cursor over all topics must name every one, so no line goes out before all positions are known
        if (node == 0 || (s.whole && !p.tail && !s.knowsAllPositions())) {
            return;
        }
        p.fetchId = ids.getAsLong();
        p.source = node;
        p.sentAt = now;
        asked.put(p.fetchId, new Asked(s.id, p));
        final List<TopicAt> topics = new ArrayList<>();
        if (!p.tail) {
            p.at.forEach((topic, at) -> topics.add(new TopicAt(topic, at)));
        }
        out.send(node, new Fetch(p.fetchId, p.group, p.tail, false, 0, 0, topics));
    }

    private void goLive(final Session s, final Part p, final Feed f, final long at, final long now) {
        p.reached(at);
        p.live = true;
        p.at.keySet().forEach(topic -> f.live(topic, s.id));
        answer(p);
        if (s.whole && s.allLive()) {
            alive(s, now);
        }
    }

    private void answer(final Part p) {
        if (p.answerTo != 0) {
            out.respond(p.answerTo, new Response(200, 0, Cursor.one(p.position())));
            p.answerTo = 0;
        }
    }

    private void feed(final Feed f, final long now) {
        // why: the source answers within the hold, so one that has not is asked no more, without waiting for its beats
        // to be missed
        final boolean waits =
                f.fetchId != 0 && now - f.sentAt <= tempo.fetchHold() + tempo.beat() && f.toldEdition == f.edition;
        if (f.at < 0 || waits) {
            return;
        }
        if (f.fetchId != 0 && now - f.sentAt > tempo.fetchHold() + tempo.beat()) {
            shun(f.source, now);
        }
        final int node = nearest(f.group, now);
        if (node == 0) {
            f.fetchId = 0;
            return;
        }
        f.fetchId = ids.getAsLong();
        f.source = node;
        f.sentAt = now;
        final List<TopicAt> topics = new ArrayList<>();
        if (f.toldSource != node || f.toldEdition != f.edition) {
            f.topics().forEach(t -> topics.add(new TopicAt(t, 0)));
            f.toldSource = node;
            f.toldEdition = f.edition;
        }
        out.send(node, new Fetch(f.fetchId, f.group, false, true, f.at, f.edition, topics));
    }

    /** What a member sent; the caller has looked whether anything may be delivered just now. */
    public void fetched(final int from, final FetchReply m, final long now) {
        shunned.remove(from);
        final Feed f = feeds.get(m.group());
        if (f != null && f.fetchId == m.jobId()) {
            fed(f, from, m, now);
            return;
        }
        final Asked ask = asked.remove(m.jobId());
        final Session s = ask == null ? null : sessions.get(ask.sessionId);
        final Part p = s == null ? null : ask.part;
        if (p == null || p.fetchId != m.jobId()) {
            return;
        }
        if (m.status() != FetchReply.OK) {
            shun(from, now);
            p.sentAt = elsewhere(now);
            return;
        }
        p.fetchId = 0;
        if (p.tail) {
            p.at.replaceAll((topic, was) -> was < 0 ? m.scannedTo() : was);
            if (s.whole) {
                if (s.knowsAllPositions()) {
                    s.parts().forEach(q -> catchUp(s, q, now));
                }
                return;
            }
            answer(p);
            meet(s, p, m, now);
            return;
        }
        if (!m.gone().isEmpty()) {
            gone(s, p, m.gone());
            return;
        }
        if (s.whole && !s.begun) {
            s.begun = true;
            s.lastLineAt = now;
            out.respond(
                    s.id,
                    new Response(
                            200,
                            0,
                            Json.createObjectBuilder()
                                    .add("type", "hello")
                                    .add("session", self + "-" + s.id)
                                    .build()
                                    .toString()));
        }
        answer(p);
        for (final Rec rec : m.recs()) {
            hand(s, p, rec, now);
        }
        p.reached(m.scannedTo());
        meet(s, p, m, now);
    }

    /** Caught up to there: goes on through the feed once that is no further, else catches up on. */
    private void meet(final Session s, final Part p, final FetchReply m, final long now) {
        final Feed f = feeds.get(p.group);
        if (f.at < 0) {
            f.at = m.scannedTo();
        }
        if (m.scannedTo() >= f.at) {
            goLive(s, p, f, m.scannedTo(), now);
            feed(f, now);
        } else if (!m.recs().isEmpty()) {
            catchUp(s, p, now);
        }
        // why: a source that is behind the feed and has nothing more is asked again at the next wakeup, not at once and
        // for ever
    }

    private void gone(final Session s, final Part p, final List<String> topics) {
        final String why = "history after the cursor is no longer kept";
        final String json = Json.createObjectBuilder()
                .add("outcome", "gone")
                .add("code", "gone")
                .add("why", why)
                .add("topics", Json.createArrayBuilder(topics))
                .build()
                .toString();
        final Response response = new Response(410, 0, json, "gone");
        if (!s.whole) {
            ended(s, p, response);
            return;
        }
        drop(s);
        if (s.begun) {
            out.close(s.id, why);
        } else {
            out.respond(s.id, response);
        }
    }

    private void fed(final Feed f, final int from, final FetchReply m, final long now) {
        if (m.status() == FetchReply.UNTOLD) {
            f.toldSource = 0;
            f.fetchId = 0;
            feed(f, now);
            return;
        }
        if (m.status() != FetchReply.OK) {
            again(f, from, now);
            return;
        }
        f.fetchId = 0;
        // why: the feed stood still for longer than history is kept; each session is told what it missed
        for (final String topic : m.gone()) {
            for (final long id : f.live(topic)) {
                final Session s = sessions.get(id);
                gone(s, s.part(topic), m.gone());
            }
        }
        for (final Rec rec : m.recs()) {
            final String topic = rec.topic();
            for (final long id : f.live(topic)) {
                final Session s = sessions.get(id);
                hand(s, s.part(topic), rec, now);
            }
        }
        f.at = Math.max(f.at, m.scannedTo());
        if (!f.idle()) {
            feed(f, now);
        }
    }

    /** The member cannot be read just now: another is asked at once, or, where none is better, at the next wakeup. */
    private void again(final Feed f, final int not, final long now) {
        shun(not, now);
        f.fetchId = 0;
        final int node = nearest(f.group, now);
        if (node != 0 && !shunned.containsKey(node)) {
            feed(f, now);
        }
    }

    /** A sending time so old that the next wakeup asks another member. */
    private long elsewhere(final long now) {
        return now - tempo.deliverMs();
    }

    private void hand(final Session s, final Part p, final Rec rec, final long now) {
        final Long at = p.at.get(rec.topic());
        if (at == null || rec.lsn() <= at) {
            return;
        }
        p.at.put(rec.topic(), rec.lsn());
        if (!s.whole) {
            out.hand(s.id, rec);
            return;
        }
        line(
                s,
                Json.createObjectBuilder()
                        .add("type", "message")
                        .add("topic", rec.topic())
                        .add("position", rec.lsn())
                        .add("sender", rec.sender())
                        .add("sequence", rec.seq())
                        .add("message", rec.text())
                        .add("cursor", Cursor.write(s.positions()))
                        .build()
                        .toString(),
                now);
    }

    private void alive(final Session s, final long now) {
        line(
                s,
                Json.createObjectBuilder()
                        .add("type", "alive")
                        .add("cursor", Cursor.write(s.positions()))
                        .build()
                        .toString(),
                now);
    }

    private void line(final Session s, final String json, final long now) {
        s.lastLineAt = now;
        out.deliver(s.id, (json + "\n").getBytes(UTF_8));
    }

    private void busy(final long jobId, final String code, final String why) {
        out.respond(jobId, Ferries.busy(tempo, code, why));
    }

    // ---- sessions with siblings

    public void unsent(final int to, final Fetch m, final long now) {
        shun(to, now);
        feeds.values().stream().filter(f -> f.fetchId == m.jobId()).forEach(f -> {
            f.toldSource = 0;
            again(f, to, now);
        });
        final Asked ask = asked.get(m.jobId());
        if (ask != null && sessions.containsKey(ask.sessionId)) {
            ask.part.sentAt = elsewhere(now);
        }
    }

    public void unsent(final Listen m) {
        if (feeds.containsKey(m.group())) {
            feeds.get(m.group()).countsToldTo = 0;
        }
    }

    public void sessionLost(final int node, final long now) {
        shun(node, now);
        feeds.values().forEach(f -> {
            if (f.source == node && f.fetchId != 0) {
                again(f, node, now);
            }
            f.toldSource = f.toldSource == node ? 0 : f.toldSource;
            // why: what was told on the broken session may not have arrived
            f.countsToldTo = f.countsToldTo == node ? 0 : f.countsToldTo;
        });
        sessions.values()
                .forEach(s -> s.parts().forEach(p -> {
                    if (p.source == node) {
                        asked.remove(p.fetchId);
                        p.fetchId = 0;
                    }
                }));
    }

    /**
     * Tells each group's master who listens: whole when that or the master has changed, else now and then that it is
     * still so.
     */
    public void tellListeners(final long now) {
        final RouteFinder finder = routes.apply(now);
        for (final Feed f : feeds.values()) {
            final int master = finder.master(f.group, now).node();
            final boolean same = f.countsToldTo == master && f.countsToldChanges == f.changes;
            if (master == 0 || (same && now - f.countsToldAt < tempo.listenRefresh())) {
                continue;
            }
            final Map<String, Integer> counts = same ? f.countsTold : f.counts();
            final List<TopicCount> list = new ArrayList<>();
            final long onto = f.countsToldTo == master ? f.countsEdition : 0;
            if (!same) {
                final Map<String, Integer> before = onto == 0 ? Map.of() : f.countsTold;
                counts.forEach((topic, n) -> {
                    if (!n.equals(before.get(topic))) {
                        list.add(new TopicCount(topic, n));
                    }
                });
                before.keySet().stream()
                        .filter(topic -> !counts.containsKey(topic))
                        .forEach(topic -> list.add(new TopicCount(topic, 0)));
                f.countsEdition = ids.getAsLong();
                f.countsToldTo = master;
                f.countsTold = counts;
                f.countsToldChanges = f.changes;
            }
            f.countsToldAt = now;
            out.send(master, new Listen(f.group, f.countsEdition, onto, list));
        }
    }
}
