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
import brookpath.coordination.node.front.GatewayAddresses;
import brookpath.coordination.node.front.LeaseQueue;
import brookpath.coordination.node.front.ListenerCountRequests;
import brookpath.coordination.node.front.PublishForwarder;
import brookpath.coordination.node.front.Subscriptions;
import brookpath.coordination.route.Refusals;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder;
import brookpath.coordination.spec.Roster.NodeInfo;
import brookpath.coordination.spec.SpecClient;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The gateway: a node of the data plane that holds the callers' sessions and keeps nothing on disk. It forwards
 * publishes to the groups' masters, reads what its sessions listen to, and serves only while it holds the lease on the
 * configuration.
 */
public final class FrontNode extends Node {
    /** The longest message that a caller may publish, in UTF-8 bytes. */
    public static final int MAX_TEXT = 16_384;

    /** A gateway only watches, so its heartbeats are rarer: changes of masterships are told to it at once besides. */
    private static final int HEARTBEAT_PERIODS = 4;

    /** A retreat spreads the sessions' moves over this part of the bound on recovery, a drain over half of it. */
    private static final int RETREAT_DIVISOR = 12;

    private static final int DRAIN_DIVISOR = 2;
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;

    private final String zone;
    private final SpecClient client;
    private final PublishForwarder forwarder;
    private final Subscriptions subscriptions;
    private final ListenerCountRequests counts;
    private final LeaseQueue leaseQueue;
    private final GatewayAddresses otherGateways;
    private final FrontStatus status;

    private long ids;
    private long nextListenerReport;
    /** The request that asked for a retreat; 0 while this node stays. */
    private long retreatRequest;

    /**
     * @param info this process as others are told of it; its address is where callers reach it, and may be empty
     * @param firstId the IDs of requests begin behind it, so that a reply meant for a former life of this process does
     *     not match a request of this one
     */
    public FrontNode(final NodeInfo info, final List<Integer> seeds, final Tempo tempo, final long firstId) {
        super(info.node(), tempo);
        zone = info.zone();
        ids = firstId;
        client = new SpecClient(info, SpecPoll.FRONT, seeds, firstId, tempo, out);
        forwarder = new PublishForwarder(tempo, this::routes, this::nextId, out);
        subscriptions =
                new Subscriptions(self, () -> client.spec().topicsPerSession(), tempo, this::routes, this::nextId, out);
        counts = new ListenerCountRequests(tempo, this::nextId, out);
        leaseQueue = new LeaseQueue(tempo);
        otherGateways = new GatewayAddresses(self, zone, this::nextId);
        status = new FrontStatus(self, zone, client);
    }

    /** The copy of the configuration and the cluster's metadata that this node works by. */
    public SpecClient client() {
        return client;
    }

    @Override
    public long beatPeriod() {
        return HEARTBEAT_PERIODS * tempo.beat();
    }

    @Override
    public long restMs(final Time time) {
        final boolean needsTimer = forwarder.needsTimer()
                || subscriptions.needsTimer()
                || client.draining()
                || !client.leased(time.mono());
        return needsTimer ? tempo.tick() : tempo.beat();
    }

    private long nextId() {
        ids++;
        return ids;
    }

    private RouteFinder routes(final long now) {
        return new RouteFinder(client.spec(), client.roster(), table, client.leased(now), zone, tempo);
    }

    /** Whether this node holds a configuration and the lease on it. */
    private boolean serves(final long now) {
        return client.leased(now) && client.spec().version() > 0;
    }

    @Override
    public void replay(final byte[] entry, final Time time) {
        throw new IllegalStateException("a front keeps nothing on disk");
    }

    // ---- timers

    @Override
    protected void onTick(final Time time) {
        final long now = time.mono();
        client.tick(time);
        releaseWaiting(now);
        forwarder.checkMasters(client.roster().groups().size(), now);
        forwarder.tick(now);
        counts.tick(now);
        if (client.leased(now)) {
            subscriptions.tick(now);
        }
        if (client.draining() && otherGateways.isSettled(now)) {
            subscriptions.moveDue(otherGateways::next, now);
        }
        if (retreatRequest != 0 && subscriptions.size() == 0 && forwarder.size() == 0) {
            out.respond(retreatRequest, new Response(OK, 0, "{}"));
            retreatRequest = 0;
        }
        if (now >= nextListenerReport) {
            nextListenerReport = now + tempo.beat();
            subscriptions.reportListeners(now);
        }
    }

    // ---- messages

    @Override
    protected void onMessage(final int from, final Msg msg, final Time time) {
        final long now = time.mono();
        if (msg instanceof SpecReply reply) {
            if (client.onReply(reply, time)) {
                subscriptions.reviewPermissions(now);
            }
            releaseWaiting(now);
        } else if (msg instanceof PublishReply reply) {
            forwarder.reply(from, reply, now);
        } else if (msg instanceof FetchReply reply) {
            // delivery pauses with the lease; the cursors stay where they are
            if (client.leased(now)) {
                subscriptions.fetched(from, reply, now);
            }
        } else if (msg instanceof OpReply reply && otherGateways.asked(reply.jobId())) {
            addressesReceived(reply);
        } else if (msg instanceof CountReply reply) {
            counts.reply(reply);
        }
    }

    private void addressesReceived(final OpReply reply) {
        if (reply.status() == OK) {
            otherGateways.received(reply.body());
        } else {
            otherGateways.unknown();
        }
    }

    @Override
    protected void onUnsent(final int to, final Msg msg, final Time time) {
        final long now = time.mono();
        if (msg instanceof SpecPoll) {
            client.unsent(to, now);
        } else if (msg instanceof Publish message) {
            forwarder.unsent(to, message, now);
        } else if (msg instanceof Fetch message) {
            subscriptions.unsent(to, message, now);
        } else if (msg instanceof Listen message) {
            subscriptions.unsent(message);
        } else if (msg instanceof Op message && otherGateways.asked(message.jobId())) {
            otherGateways.unknown();
        } else if (msg instanceof CountAsk message) {
            counts.unsent(to, message);
        }
    }

    @Override
    protected void onSessionLost(final int node, final Time time) {
        client.unsent(node, time.mono());
        forwarder.sessionLost(node, time.mono());
        subscriptions.sessionLost(node, time.mono());
    }

    // ---- requests

    @Override
    protected void onJob(final Job job, final Time time) {
        final long now = time.mono();
        if (needsLease(job)) {
            if (!leaseQueue.offer(job, serves(now), now)) {
                handleLeased(job, now);
            }
        } else if (job instanceof Job.Subscribe request) {
            if (client.draining()) {
                refuseDraining(request.jobId());
            } else {
                subscriptions.subscribe(request, Cursor.read(request.cursor()), now);
            }
        } else if (job instanceof Job.Leave request) {
            subscriptions.leave(request);
        } else if (job instanceof Job.Unsubscribe request) {
            leaseQueue.removeIf(waiting -> belongsTo(waiting, request.sessionId()));
            subscriptions.end(request.sessionId());
        } else {
            handleOperator(job, time);
        }
    }

    /** Requests of callers that can be judged only with the lease on the configuration. */
    private static boolean needsLease(final Job job) {
        return job instanceof Job.Publish
                || job instanceof Job.Open
                || job instanceof Job.Join
                || job instanceof Job.Count;
    }

    private static boolean belongsTo(final Job job, final long sessionId) {
        if (job instanceof Job.Open open) {
            return open.jobId() == sessionId;
        }
        return job instanceof Job.Join join && join.sessionId() == sessionId;
    }

    private void releaseWaiting(final long now) {
        leaseQueue.release(serves(now), now, job -> handleLeased(job, now));
    }

    private void handleLeased(final Job job, final long now) {
        if (job instanceof Job.Publish request) {
            publish(request, now);
        } else if (job instanceof Job.Open request) {
            open(request, now);
        } else if (job instanceof Job.Join request) {
            subscriptions.join(request, now);
        } else if (job instanceof Job.Count request) {
            count(request, now);
        }
    }

    private void handleOperator(final Job job, final Time time) {
        final long now = time.mono();
        if (job instanceof Job.Explain request) {
            final String page = status.explain(request, routes(now), table, now);
            out.respond(request.jobId(), new Response(OK, 0, page));
        } else if (job instanceof Job.Ready request) {
            out.respond(request.jobId(), readiness(now));
        } else if (job instanceof Job.Drain request) {
            drain(request.on(), tempo.recoverMs() / DRAIN_DIVISOR, now);
            out.respond(request.jobId(), new Response(OK, 0, "{\"draining\":" + request.on() + "}"));
        } else if (job instanceof Job.Retreat request) {
            retreatRequest = request.jobId();
            drain(true, tempo.recoverMs() / RETREAT_DIVISOR, now);
        } else if (job instanceof Job.Status request) {
            out.respond(request.jobId(), new Response(OK, 0, statusJson(time)));
        }
    }

    private void publish(final Job.Publish request, final long now) {
        final Route route = routes(now).admit(request.key(), request.topic());
        if (route.isRefused()) {
            out.note("publish " + request.topic() + " " + request.sender() + "/" + request.seq() + ": refused with "
                    + route.refusal().status() + ", " + route.because());
            out.respond(request.jobId(), route.refusal());
            return;
        }
        final long answerMs = client.spec().spaceOf(request.topic()).answerMs();
        forwarder.add(request, route, client.spec().version(), answerMs, now);
    }

    private void open(final Job.Open request, final long now) {
        if (!serves(now)) {
            refuse(request.jobId(), "spec", "this node has not heard from the control plane lately");
        } else if (!request.key().isEmpty() && client.spec().tenantOf(request.key()) == null) {
            out.respond(request.jobId(), Refusals.refused(UNAUTHORIZED, 0, "key", "unknown key"));
        } else if (client.draining()) {
            refuseDraining(request.jobId());
            out.move(request.jobId(), otherGateways.next());
        } else {
            subscriptions.open(request);
        }
    }

    private void count(final Job.Count request, final long now) {
        final Route route = routes(now).publish(request.key(), request.topic(), now);
        if (route.isRefused()) {
            out.respond(request.jobId(), route.refusal());
        } else {
            counts.ask(request.jobId(), route, request.topic(), excludesCaller(request), now);
        }
    }

    /** Whether the caller's own session is among the listeners; one of another node is believed to be. */
    private boolean excludesCaller(final Job.Count request) {
        final String session = request.session();
        if (session == null || session.isEmpty()) {
            return false;
        }
        if (!session.startsWith(self + "-")) {
            return true;
        }
        final long sessionId = Long.parseLong(session.substring(session.indexOf('-') + 1));
        return subscriptions.listens(sessionId, request.topic());
    }

    /** It is ready before it has anything to serve, and says so by a code for those who would rather wait. */
    private Response readiness(final long now) {
        final Response ready = Ready.response(client.leased(now), client.draining());
        final boolean empty =
                client.spec().version() == 0 || client.roster().groups().isEmpty();
        return new Response(ready.status(), ready.retryAfterMs(), ready.json(), empty ? "empty" : "");
    }

    private void drain(final boolean on, final long over, final long now) {
        if (on && !client.draining()) {
            // whoever is sent on is told where to, and only the control plane knows all gateways
            final long request = nextId();
            otherGateways.await(request, now + tempo.down());
            out.send(client.controlMaster(), new Op(request, "fronts", new byte[0]));
        }
        client.drain(on);
        if (on) {
            subscriptions.scheduleMoves(over, now);
        } else {
            subscriptions.cancelMoves();
        }
    }

    private void refuseDraining(final long requestId) {
        refuse(requestId, "draining", "this node drains; another takes new sessions");
    }

    private void refuse(final long requestId, final String code, final String why) {
        out.respond(requestId, Refusals.retryLater(tempo, code, why));
    }

    // ---- for the listener thread and the status page

    @Override
    protected void onSynced(final long number, final Time time) {
        // nothing is written here
    }

    @Override
    public List<BeatEntry> entries(final Time time) {
        return List.of();
    }

    @Override
    public Set<Integer> beatSiblings() {
        final Set<Integer> nodes = new HashSet<>();
        client.roster().groups().forEach(group -> group.members().forEach(member -> nodes.add(member.node())));
        return nodes;
    }

    @Override
    public Map<Integer, String> zones() {
        return zonesOf(client.roster());
    }

    @Override
    public String statusJson(final Time time) {
        return status.page(routes(time.mono()), subscriptions.size(), forwarder.size(), time.mono());
    }
}
