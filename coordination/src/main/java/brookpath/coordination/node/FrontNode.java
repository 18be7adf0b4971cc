package brookpath.coordination.node;

import brookpath.coordination.Tempo;
import brookpath.coordination.message.Msg;
import brookpath.coordination.message.Msg.BeatEntry;
import brookpath.coordination.message.Msg.CountAsk;
import brookpath.coordination.message.Msg.CountReply;
import brookpath.coordination.message.Msg.Fetch;
import brookpath.coordination.message.Msg.FetchReply;
import brookpath.coordination.message.Msg.Listen;
import brookpath.coordination.message.Msg.Op;
import brookpath.coordination.message.Msg.OpReply;
import brookpath.coordination.message.Msg.Publish;
import brookpath.coordination.message.Msg.PublishReply;
import brookpath.coordination.message.Msg.SpecPoll;
import brookpath.coordination.message.Msg.SpecReply;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.front.Ferries;
import brookpath.coordination.node.front.Subscriptions;
import brookpath.coordination.path.Path;
import brookpath.coordination.path.PathFinder;
import brookpath.coordination.spec.Roster;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.coordination.spec.Spec;
import brookpath.coordination.spec.SpecClient;
import brookpath.state.record.Pack;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A front machine of the data plane: holds the callers' sessions. */
public final class FrontNode extends Node {
    public static final int MAX_TEXT = 16_384;
    private static final int MAX_COUNTS = 4_096;
    /** Beats of a front, which only watches: changes of masterships are told to it at once besides. */
    private static final int BEATS = 4;

    private record CountJob(long jobId, int node, long horizon, boolean leaveOut) {}

    private record Arrival(Job job, long horizon) {}

    private final String zone;
    private final SpecClient client;
    private final Ferries ferries;
    private final Subscriptions subscriptions;
    private final TreeMap<Long, CountJob> counts = new TreeMap<>();
    /** Jobs that wait for the lease. */
    private final ArrayDeque<Arrival> anteroom = new ArrayDeque<>();

    private long leaselessSince = Long.MAX_VALUE / 2;
    private long ids;
    private long nextListen;
    /**
     * The job that asked for a retreat, and until when other fronts' addresses are waited for; 0 while this node stays.
     */
    private long retreat;

    private long addressesUntil;
    /** The question for other fronts' addresses that waits for its answer. */
    private long addressesAsked;

    private List<String> elsewhere;

    /**
     * @param info this process as others are told of it; its address is where callers reach it, and may be empty
     * @param firstId where the IDs of what it asks begin, another place in each life
     */
    public FrontNode(final NodeInfo info, final List<Integer> seeds, final Tempo tempo, final long firstId) {
        super(info.node(), tempo);
        zone = info.zone();
        // why: a reply meant for a former life of this process must not match a job of this one
        ids = firstId;
        client = new SpecClient(info, SpecPoll.FRONT, seeds, firstId, tempo, out);
        ferries = new Ferries(tempo, this::paths, () -> ++ids, out);
        subscriptions =
                new Subscriptions(self, () -> client.spec().topicsPerSession(), tempo, this::paths, () -> ++ids, out);
    }

    public SpecClient client() {
        return client;
    }

    @Override
    public long beatPeriod() {
        return BEATS * tempo.beat();
    }

    @Override
    public long restMs(final Time time) {
        return ferries.restless() || subscriptions.restless() || client.draining() || !client.leased(time.mono())
                ? tempo.tick()
                : tempo.beat();
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
        admit(time);
        ferries.watch(client.roster().groups().size(), now);
        ferries.tick(now);
        counts.values().removeIf(c -> {
            if (now >= c.horizon) {
                busy(c.jobId, "count", "no word from the master in time");
            }
            return now >= c.horizon;
        });
        if (client.leased(now)) {
            subscriptions.tick(now);
        }
        if (client.draining() && (elsewhere != null || now >= addressesUntil)) {
            subscriptions.sendOn(elsewhere == null ? List.of() : elsewhere, now);
        }
        if (retreat != 0 && subscriptions.size() == 0 && ferries.size() == 0) {
            out.respond(retreat, new Response(200, 0, "{}"));
            retreat = 0;
        }
        if (now >= nextListen) {
            nextListen = now + tempo.beat();
            subscriptions.tellListeners(now);
        }
    }

    // ---- messages

    @Override
    protected void onMessage(final int from, final Msg msg, final Time time) {
        final long now = time.mono();
        if (msg instanceof SpecReply m) {
            if (client.onReply(m, time)) {
                subscriptions.reconsider(now);
            }
            admit(time);
        } else if (msg instanceof PublishReply m) {
            ferries.reply(from, m, now);
        } else if (msg instanceof FetchReply m) {
            // why: delivery pauses with the lease; the cursors stay where they are
            if (client.leased(now)) {
                subscriptions.fetched(from, m, now);
            }
        } else if (msg instanceof OpReply m && m.jobId() == addressesAsked) {
            elsewhere = m.status() == 200 ? read(m.body()) : List.of();
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

    /** The addresses for callers of other fronts: those of this zone, else all. */
    private List<String> read(final byte[] body) {
        final List<String> near = new ArrayList<>();
        final List<String> all = new ArrayList<>();
        final Pack in = Pack.reader(body);
        for (long n = in.num(); n > 0; n--) {
            final int node = (int) in.num();
            final boolean here = in.str().equals(zone);
            final String address = in.str();
            if (node != self && !address.isEmpty()) {
                all.add(address);
                if (here) {
                    near.add(address);
                }
            }
        }
        return near.isEmpty() ? all : near;
    }

    // ---- jobs

    /** What cannot be judged without a lease waits a moment for it, in its order, where one may be expected soon. */
    private boolean waits(final Job job, final long now) {
        if ((client.leased(now) && client.spec().version() > 0)
                || now - leaselessSince > tempo.deliverMs()
                || anteroom.size() >= MAX_COUNTS) {
            return false;
        }
        anteroom.add(new Arrival(job, now + tempo.deliverMs() / 2));
        return true;
    }

    private void admit(final Time time) {
        final long now = time.mono();
        final boolean serves = client.leased(now) && client.spec().version() > 0;
        if (serves) {
            leaselessSince = Long.MAX_VALUE / 2;
        } else if (leaselessSince > now) {
            leaselessSince = now;
        }
        while (!anteroom.isEmpty()
                && (serves || now >= anteroom.peek().horizon || now - leaselessSince > tempo.deliverMs())) {
            take(anteroom.poll().job, now);
        }
    }

    private void take(final Job job, final long now) {
        if (job instanceof Job.Publish j) {
            publish(j, now);
        } else if (job instanceof Job.Open j) {
            open(j, now);
        } else if (job instanceof Job.Join j) {
            subscriptions.join(j, now);
        } else if (job instanceof Job.Count j) {
            count(j, now);
        }
    }

    @Override
    protected void onJob(final Job job, final Time time) {
        final long now = time.mono();
        if (job instanceof Job.Publish
                || job instanceof Job.Open
                || job instanceof Job.Join
                || job instanceof Job.Count) {
            if (!waits(job, now)) {
                take(job, now);
            }
        } else if (job instanceof Job.Subscribe j) {
            if (client.draining()) {
                busy(j.jobId(), "draining", "this node drains; another takes new sessions");
            } else {
                subscriptions.subscribe(j, Cursor.read(j.cursor()), now);
            }
        } else if (job instanceof Job.Leave j) {
            subscriptions.leave(j, now);
        } else if (job instanceof Job.Unsubscribe j) {
            anteroom.removeIf(a -> (a.job instanceof Job.Open o && o.jobId() == j.sessionId())
                    || (a.job instanceof Job.Join i && i.sessionId() == j.sessionId()));
            subscriptions.end(j.sessionId());
        } else if (job instanceof Job.Explain j) {
            out.respond(j.jobId(), new Response(200, 0, explain(j, now)));
        } else if (job instanceof Job.Ready j) {
            final Response ready = Ready.response(client.leased(now), client.draining());
            // why: it is ready before it has anything to serve, and says so by a code for those who would rather wait
            final boolean empty =
                    client.spec().version() == 0 || client.roster().groups().isEmpty();
            out.respond(
                    j.jobId(), new Response(ready.status(), ready.retryAfterMs(), ready.json(), empty ? "empty" : ""));
        } else if (job instanceof Job.Drain j) {
            drain(j.on(), tempo.recoverMs() / 2, now);
            out.respond(j.jobId(), new Response(200, 0, "{\"draining\":" + j.on() + "}"));
        } else if (job instanceof Job.Retreat j) {
            retreat = j.jobId();
            drain(true, tempo.recoverMs() / 12, now);
        } else if (job instanceof Job.Status j) {
            out.respond(j.jobId(), new Response(200, 0, statusJson(time)));
        }
    }

    private String explain(final Job.Explain j, final long now) {
        final PathFinder paths = paths(now);
        final Path path = paths.publish(j.key(), j.topic(), now);
        final Path admitted = paths.admit(j.key(), j.topic());
        final var obj = Json.createObjectBuilder()
                .add("node", self)
                .add("topic", j.topic())
                .add("specVersion", client.spec().version())
                .add("specLeaseLeftMs", Math.max(0, client.leaseUntil() - now))
                .add("because", path.because())
                .add("status", path.refusal() == null ? 200 : path.refusal().status())
                .add("group", admitted.group())
                .add("master", path.node());
        if (admitted.group() >= 0) {
            obj.add("readsFrom", paths.nearest(admitted.group(), n -> false, now));
            final JsonArrayBuilder seen = Json.createArrayBuilder();
            client.roster()
                    .groups()
                    .get(admitted.group())
                    .members()
                    .forEach(m -> seen.add(GroupStatus.row(m, table, admitted.group(), now, false)));
            obj.add("table", seen);
        }
        return obj.build().toString();
    }

    private void count(final Job.Count j, final long now) {
        final Path path = paths(now).publish(j.key(), j.topic(), now);
        if (path.refusal() != null) {
            out.respond(j.jobId(), path.refusal());
            return;
        }
        if (counts.size() >= MAX_COUNTS) {
            busy(j.jobId(), "busy", "too many counts are under way here");
            return;
        }
        counts.put(++ids, new CountJob(j.jobId(), path.node(), now + tempo.ferryHorizon(), leaveOut(j)));
        out.send(path.node(), new CountAsk(ids, path.group(), j.topic()));
    }

    private boolean leaveOut(final Job.Count j) {
        if (j.session() == null || !j.session().startsWith(self + "-")) {
            return j.session() != null && !j.session().isEmpty();
        }
        return subscriptions.listens(
                Long.parseLong(j.session().substring(j.session().indexOf('-') + 1)), j.topic());
    }

    private void publish(final Job.Publish j, final long now) {
        final Path path = paths(now).admit(j.key(), j.topic());
        if (path.refusal() != null) {
            out.note("publish " + j.topic() + " " + j.sender() + "/" + j.seq() + ": refused with "
                    + path.refusal().status() + ", " + path.because());
            out.respond(j.jobId(), path.refusal());
            return;
        }
        ferries.add(
                j,
                path,
                client.spec().version(),
                client.spec().spaceOf(j.topic()).answerMs(),
                now);
    }

    private void open(final Job.Open j, final long now) {
        if (!client.leased(now) || client.spec().version() == 0) {
            busy(j.jobId(), "spec", "this node has not heard from the control plane lately");
        } else if (!j.key().isEmpty() && client.spec().tenantOf(j.key()) == null) {
            out.respond(
                    j.jobId(),
                    new Response(401, 0, "{\"outcome\":\"refused\",\"code\":\"key\",\"why\":\"unknown key\"}", "key"));
        } else if (client.draining()) {
            busy(j.jobId(), "draining", "this node drains; another takes new sessions");
            out.move(
                    j.jobId(),
                    elsewhere == null || elsewhere.isEmpty() ? "" : elsewhere.get((int) (++ids % elsewhere.size())));
        } else {
            subscriptions.open(j, now);
        }
    }

    private void drain(final boolean on, final long over, final long now) {
        if (on && !client.draining()) {
            // why: whoever is sent on is told where to, and only the control plane knows all fronts
            elsewhere = null;
            addressesUntil = now + tempo.down();
            addressesAsked = ++ids;
            out.send(client.controlMaster(), new Op(addressesAsked, "fronts", new byte[0]));
        }
        client.drain(on);
        subscriptions.drain(on, over, now);
    }

    @Override
    protected void onUnsent(final int to, final Msg msg, final Time time) {
        if (msg instanceof SpecPoll) {
            client.unsent(to, time.mono());
        } else if (msg instanceof Publish m) {
            ferries.unsent(to, m, time.mono());
        } else if (msg instanceof Fetch m) {
            subscriptions.unsent(to, m, time.mono());
        } else if (msg instanceof Listen m) {
            subscriptions.unsent(m);
        } else if (msg instanceof Op m && m.jobId() == addressesAsked) {
            elsewhere = List.of();
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
        ferries.sessionLost(node, time.mono());
        subscriptions.sessionLost(node, time.mono());
    }

    private void busy(final long jobId, final String code, final String why) {
        out.respond(jobId, Ferries.busy(tempo, code, why));
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
            arr.add(Json.createObjectBuilder()
                    .add("group", g.id())
                    .add("master", path.node())
                    .add("why", path.because())
                    .add("readsFrom", paths.nearest(g.id(), n -> false, time.mono()))
                    .add("founded", g.founded()));
        }
        final Spec spec = client.spec();
        return Json.createObjectBuilder()
                .add("node", self)
                .add("role", "front")
                .add("zone", zone)
                .add("specVersion", spec.version())
                .add("rosterVersion", client.roster().version())
                .add("specLeaseLeftMs", Math.max(0, client.leaseUntil() - time.mono()))
                .add("controlMaster", client.controlMaster())
                .add("draining", client.draining())
                .add("sessions", subscriptions.size())
                .add("ferries", ferries.size())
                .add("groups", arr)
                .build()
                .toString();
    }
}
