package brookpath.coordination.node;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import brookpath.coordination.message.PeerMessage.ControlReply;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.PeerMessage.Fetch;
import brookpath.coordination.message.PeerMessage.FetchReply;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.PeerMessage.ListenerCountReply;
import brookpath.coordination.message.PeerMessage.ListenerCountRequest;
import brookpath.coordination.message.PeerMessage.ListenerReport;
import brookpath.coordination.message.PeerMessage.Publish;
import brookpath.coordination.message.PeerMessage.PublishReply;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.gateway.GatewayAddresses;
import brookpath.coordination.node.gateway.GatewayDrain;
import brookpath.coordination.node.gateway.LeaseQueue;
import brookpath.coordination.node.gateway.ListenerCountRequests;
import brookpath.coordination.node.gateway.PublishForwarder;
import brookpath.coordination.node.gateway.SessionOverflow;
import brookpath.coordination.node.gateway.SessionRequests;
import brookpath.coordination.node.gateway.Subscriptions;
import brookpath.coordination.route.Refusals;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The gateway: a node of the data plane that holds the callers' sessions and stores nothing on disk. It forwards
 * publishes to the groups' leaders, reads the topics of its sessions, and serves only while it holds the lease on the
 * configuration.
 */
public final class GatewayNode extends Node {
    /** The longest message that a caller may publish, in UTF-8 bytes. */
    public static final int MAX_MESSAGE_BYTES = 16_384;

    /** Heartbeats are rarer than between members: a gateway only observes, and hears of leader changes at once. */
    private static final int HEARTBEAT_PERIODS = 4;

    private final String zone;
    private final ConfigurationClient client;
    private final PublishForwarder forwarder;
    private final Subscriptions subscriptions;
    private final SessionRequests sessionRequests;
    private final ListenerCountRequests counts;
    private final LeaseQueue leaseQueue;
    private final GatewayAddresses otherGateways;
    private final GatewayDrain drain;
    private final SessionOverflow overflow;
    private final GatewayStatus status;

    private long ids;
    private long nextListenerReport;
    private boolean servedBefore;

    /**
     * @param info this process as peers see it; the address is where callers reach it, and may be empty
     * @param seeds the controllers that are polled first
     * @param overflow decides which sessions are redirected to other gateways
     * @param firstId request IDs begin after it; it differs in each incarnation, so that a reply to an earlier
     *     incarnation matches no request
     */
    public GatewayNode(
            final NodeInfo info,
            final List<Integer> seeds,
            final TimingBounds timing,
            final SessionOverflow overflow,
            final long firstId) {
        super(info.node(), timing);
        this.overflow = overflow;
        zone = info.zone();
        ids = firstId;
        client = new ConfigurationClient(info, ConfigurationPoll.GATEWAY, seeds, firstId, timing, out);
        forwarder = new PublishForwarder(timing, this::routes, this::nextId, out);
        subscriptions = new Subscriptions(
                self, () -> client.configuration().topicsPerSession(), timing, this::routes, this::nextId, out);
        sessionRequests = subscriptions.requests();
        counts = new ListenerCountRequests(timing, this::nextId, out);
        leaseQueue = new LeaseQueue(timing);
        otherGateways = new GatewayAddresses(self, zone, this::nextId, timing, out);
        drain = new GatewayDrain(client, subscriptions, otherGateways, timing, out);
        status = new GatewayStatus(self, zone, client);
    }

    /** The client with this node's replicas of the configuration and the cluster metadata. */
    public ConfigurationClient client() {
        return client;
    }

    @Override
    public long heartbeatPeriod() {
        return HEARTBEAT_PERIODS * timing.heartbeat();
    }

    @Override
    public long maxTickDelayMs(final Time time) {
        final boolean needsTimer = forwarder.needsTimer()
                || subscriptions.needsTimer()
                || client.draining()
                || !client.leased(time.mono());
        return needsTimer ? timing.tick() : timing.heartbeat();
    }

    private long nextId() {
        ids++;
        return ids;
    }

    private RouteFinder routes(final long now) {
        return new RouteFinder(client.configuration(), client.metadata(), table, client.leased(now), zone, timing);
    }

    /** Whether this node holds a configuration and the lease on it. */
    private boolean serves(final long now) {
        return client.leased(now) && client.configuration().version() > 0;
    }

    @Override
    public void replay(final byte[] entry, final Time time) {
        throw new IllegalStateException("a gateway stores nothing on disk");
    }

    // ---- timers

    @Override
    protected void onTick(final Time time) {
        final long now = time.mono();
        client.tick(time);
        releaseWaiting(now);
        forwarder.checkLeaders(client.metadata().groups().size(), now);
        forwarder.tick(now);
        counts.tick(now);
        if (client.leased(now)) {
            subscriptions.tick(now);
        }
        drain.tick(forwarder.size(), now);
        if (now >= nextListenerReport) {
            nextListenerReport = now + timing.heartbeat();
            subscriptions.reportListeners(now);
        }
    }

    // ---- messages

    @Override
    protected void onMessage(final int from, final PeerMessage peerMessage, final Time time) {
        final long now = time.mono();
        if (peerMessage instanceof ConfigurationReply reply) {
            if (client.onReply(reply, time)) {
                subscriptions.reviewPermissions(now);
            }
            releaseWaiting(now);
        } else if (peerMessage instanceof PublishReply reply) {
            forwarder.reply(from, reply, now);
        } else if (peerMessage instanceof FetchReply reply) {
            // Delivery pauses while there is no lease; the cursors do not advance
            if (client.leased(now)) {
                subscriptions.fetched(from, reply, now);
            }
        } else if (peerMessage instanceof ControlReply reply) {
            drain.received(reply);
        } else if (peerMessage instanceof ListenerCountReply reply) {
            counts.reply(reply);
        }
    }

    @Override
    protected void onUnsent(final int to, final PeerMessage peerMessage, final Time time) {
        final long now = time.mono();
        if (peerMessage instanceof ConfigurationPoll) {
            client.unsent(to, now);
        } else if (peerMessage instanceof Publish message) {
            forwarder.unsent(to, message, now);
        } else if (peerMessage instanceof Fetch message) {
            subscriptions.unsent(to, message, now);
        } else if (peerMessage instanceof ListenerReport message) {
            subscriptions.unsent(message);
        } else if (peerMessage instanceof ControlRequest message) {
            drain.unsent(message);
        } else if (peerMessage instanceof ListenerCountRequest message) {
            counts.unsent(to, message);
        }
    }

    @Override
    protected void onSessionLost(final int node, final Time time) {
        client.unsent(node, time.mono());
        forwarder.connectionLost(node, time.mono());
        subscriptions.connectionLost(node, time.mono());
    }

    // ---- requests

    @Override
    protected void onRequest(final NodeRequest nodeRequest, final Time time) {
        final long now = time.mono();
        if (needsLease(nodeRequest)) {
            if (!leaseQueue.offer(nodeRequest, serves(now), now)) {
                handleLeased(nodeRequest, now);
            }
        } else if (nodeRequest instanceof NodeRequest.Subscribe request) {
            if (client.draining()) {
                refuseDraining(request.requestId());
            } else {
                sessionRequests.subscribe(request, Cursor.decode(request.cursor()), now);
            }
        } else if (nodeRequest instanceof NodeRequest.Leave request) {
            // Executed later, they would subscribe the session again
            leaseQueue.removeJoins(request.sessionId(), request.topic()).forEach(sessionRequests::refuseCancelledJoin);
            sessionRequests.leave(request);
        } else if (nodeRequest instanceof NodeRequest.Unsubscribe request) {
            sessionRequests.end(request.sessionId(), leaseQueue.removeRequestsOf(request.sessionId()));
        } else if (nodeRequest instanceof NodeRequest.SessionFlushed request) {
            subscriptions.flushed(request.sessionId(), now);
        } else {
            handleOperator(nodeRequest, time);
        }
    }

    /** Whether the request can be decided only while this node holds the lease on the configuration. */
    private static boolean needsLease(final NodeRequest nodeRequest) {
        return nodeRequest instanceof NodeRequest.Publish
                || nodeRequest instanceof NodeRequest.Open
                || nodeRequest instanceof NodeRequest.Join
                || nodeRequest instanceof NodeRequest.Count;
    }

    private void releaseWaiting(final long now) {
        if (!servedBefore && serves(now)) {
            servedBefore = true;
            reportStartupMilestone(
                    "serves configuration " + client.configuration().version() + " after " + client.pollsSent()
                            + " polls",
                    now);
        }
        leaseQueue.release(serves(now), now, nodeRequest -> handleLeased(nodeRequest, now));
    }

    private void handleLeased(final NodeRequest nodeRequest, final long now) {
        if (nodeRequest instanceof NodeRequest.Publish request) {
            publish(request, now);
        } else if (nodeRequest instanceof NodeRequest.Open request) {
            open(request, now);
        } else if (nodeRequest instanceof NodeRequest.Join request) {
            sessionRequests.join(request, now);
        } else if (nodeRequest instanceof NodeRequest.Count request) {
            count(request, now);
        }
    }

    private void handleOperator(final NodeRequest nodeRequest, final Time time) {
        final long now = time.mono();
        if (nodeRequest instanceof NodeRequest.Explain request) {
            final String page = status.explain(request, routes(now), table, now);
            out.respond(request.requestId(), new Response(OK, 0, page));
        } else if (nodeRequest instanceof NodeRequest.ReadinessProbe request) {
            out.respond(request.requestId(), readiness(now));
        } else if (nodeRequest instanceof NodeRequest.Drain request) {
            if (request.on()) {
                drain.start(now);
            } else {
                drain.stop();
            }
            out.respond(request.requestId(), new Response(OK, 0, "{\"draining\":" + request.on() + "}"));
        } else if (nodeRequest instanceof NodeRequest.GracefulShutdown request) {
            drain.shutDown(request.requestId(), now);
        } else if (nodeRequest instanceof NodeRequest.Status request) {
            out.respond(request.requestId(), new Response(OK, 0, statusJson(time)));
        }
    }

    private void publish(final NodeRequest.Publish request, final long now) {
        final Route route = routes(now).admit(request.key(), request.topic());
        if (route.isRefused()) {
            out.note("publish " + request.topic() + " " + request.sender() + "/" + request.seq() + ": refused with "
                    + route.refusal().status() + ", " + route.because());
            out.respond(request.requestId(), route.refusal());
            return;
        }
        final long answerMs = client.configuration().spaceOf(request.topic()).answerMs();
        forwarder.add(request, route, client.configuration().version(), answerMs, now);
    }

    private void open(final NodeRequest.Open request, final long now) {
        if (!serves(now)) {
            refuse(request.requestId(), "spec", "this node has not heard from the control plane lately");
        } else if (!request.key().isEmpty() && client.configuration().tenantOf(request.key()) == null) {
            out.respond(request.requestId(), Refusals.refused(ResponseStatus.UNAUTHORIZED, 0, "key", "unknown key"));
        } else if (client.draining()) {
            refuseDraining(request.requestId());
            out.moveSession(request.requestId(), otherGateways.next());
        } else if (!redirect(request, now)) {
            overflow.accepted();
            sessionRequests.open(request);
        }
    }

    /** Redirects a caller that would wait too long here to another gateway; false where it is to be served here. */
    private boolean redirect(final NodeRequest.Open request, final long now) {
        if (!overflow.shouldRedirect(now)) {
            return false;
        }
        otherGateways.requestIfStale(client.controlLeader(), now);
        final String address = otherGateways.next();
        if (address.isEmpty()) {
            return false;
        }
        overflow.redirected();
        refuse(request.requestId(), Refusals.MOVED, "this node has more sessions to set up than it can in time");
        out.moveSession(request.requestId(), address);
        return true;
    }

    private void count(final NodeRequest.Count request, final long now) {
        final Route route = routes(now).publish(request.key(), request.topic(), now);
        if (route.isRefused()) {
            out.respond(request.requestId(), route.refusal());
        } else {
            counts.ask(request.requestId(), route, request.topic(), excludesCaller(request), now);
        }
    }

    /** Whether the caller's own session is among the listeners; a session of another node is assumed to be. */
    private boolean excludesCaller(final NodeRequest.Count request) {
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

    /**
     * A gateway is ready even without a configuration or topic groups; the code {@code empty} in the response lets a
     * probe wait for them.
     */
    private Response readiness(final long now) {
        final Response ready = ReadinessProbe.response(client.leased(now), client.draining());
        final boolean empty = client.configuration().version() == 0
                || client.metadata().groups().isEmpty();
        return new Response(ready.status(), ready.retryAfterMs(), ready.json(), empty ? "empty" : "");
    }

    private void refuseDraining(final long requestId) {
        refuse(requestId, "draining", "this node is draining; another gateway accepts new sessions");
    }

    private void refuse(final long requestId, final String code, final String reason) {
        out.respond(requestId, Refusals.retryLater(timing, code, reason));
    }

    // ---- heartbeats and status page

    @Override
    protected void onSynced(final long number, final Time time) {
        // A gateway writes nothing to disk
    }

    @Override
    public List<HeartbeatEntry> entries(final Time time) {
        return List.of();
    }

    @Override
    public Set<Integer> heartbeatPeers() {
        final Set<Integer> nodes = new HashSet<>();
        client.metadata().groups().forEach(group -> group.members().forEach(member -> nodes.add(member.node())));
        return nodes;
    }

    @Override
    public Map<Integer, String> zones() {
        return zonesOf(client.metadata());
    }

    @Override
    public String statusJson(final Time time) {
        return status.page(routes(time.mono()), subscriptions.size(), forwarder.size(), time.mono());
    }
}
