package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.Fetch;
import brookpath.coordination.message.PeerMessage.FetchReply;
import brookpath.coordination.message.PeerMessage.ListenerReport;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.node.Cursor;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.route.Refusals;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The callers' sessions of a gateway: takes the requests that open and end them or change what they listen to, and
 * passes on the events by which their records are fetched. Times are monotonic milliseconds.
 */
public final class Subscriptions {
    private static final int OK = 200;
    private static final long START_AT_END = -1;

    /** Why a topic may not be listened to any longer. */
    private record Revocation(Response response, String closeReason) {}

    private final IntSupplier maxTopics;
    private final TimingBounds timing;
    private final LongFunction<RouteFinder> routes;
    private final Actions out;
    private final SessionRegistry registry;
    private final FetchSources sources;
    private final SessionWriter writer;
    private final SessionTerminator terminator;
    private final FeedFetcher feedFetcher;
    private final CatchUpFetcher catchUpFetcher;
    private final ListenerReporter listenerReporter;
    private final SessionDrain drain;

    /**
     * @param self this node
     * @param maxTopics how many topics a session may listen to
     * @param routes the routes as the tables stand at a time
     * @param ids never the same twice, and rising
     */
    public Subscriptions(
            final int self,
            final IntSupplier maxTopics,
            final TimingBounds timing,
            final LongFunction<RouteFinder> routes,
            final LongSupplier ids,
            final Actions out) {
        this.maxTopics = maxTopics;
        this.timing = timing;
        this.routes = routes;
        this.out = out;
        registry = new SessionRegistry(ids);
        sources = new FetchSources(timing, routes);
        writer = new SessionWriter(self, out);
        terminator = new SessionTerminator(registry, timing, out);
        feedFetcher = new FeedFetcher(registry, sources, writer, terminator, timing, ids, out);
        catchUpFetcher = new CatchUpFetcher(registry, sources, feedFetcher, writer, terminator, timing, ids, out);
        listenerReporter = new ListenerReporter(registry, timing, routes, ids, out);
        drain = new SessionDrain(registry, out);
    }

    /** How many sessions there are. */
    public int size() {
        return registry.size();
    }

    /** Whether something waits for a timer rather than for a reply. */
    public boolean needsTimer() {
        return registry.needsTimer();
    }

    /** Whether the session is one of this node and listens to the topic. */
    public boolean listens(final long sessionId, final String topic) {
        final Session session = registry.get(sessionId);
        return session != null && session.subscription(topic) != null;
    }

    // ---- requests

    /** Opens a session that joins and leaves topics one by one. */
    public void open(final NodeRequest.Open request) {
        if (registry.isFull()) {
            refuseFull(request.requestId());
            return;
        }
        final Session session = new Session(request.requestId(), request.key(), false, Session.NEVER);
        session.started = true;
        registry.add(session);
        out.respond(session.id, new Response(OK, 0, "{}"));
    }

    /** Adds a topic to a session; the response, once the topic's position is known, is its cursor. */
    public void join(final NodeRequest.Join request, final long now) {
        final Session session = registry.get(request.sessionId());
        final long start = request.cursor() == null ? START_AT_END : Cursor.readOne(request.cursor());
        if (session == null) {
            refuseInvalid(request.requestId(), "cursor", "no such session");
            return;
        }
        if (request.cursor() != null && start < 0) {
            refuseInvalid(request.requestId(), "cursor", "not a cursor of this service");
            return;
        }
        final GroupSubscription previous = session.subscription(request.topic());
        if (previous == null && session.topicCount() >= maxTopics.getAsInt()) {
            refuseInvalid(request.requestId(), "topics", "more than " + maxTopics.getAsInt() + " topics");
            return;
        }
        final Route route = routes.apply(now).admit(session.key, request.topic());
        if (route.isRefused()) {
            out.respond(request.requestId(), route.refusal());
            return;
        }
        if (previous != null) {
            // joined anew, the topic begins anew, at the cursor that is asked for
            registry.unsubscribe(session, previous);
        }
        final long deadline = now + timing.deliverMs() / 2;
        final GroupSubscription subscription = new GroupSubscription(route.group(), request.requestId(), deadline);
        subscription.include(request.topic(), start);
        registry.subscribe(session, subscription);
        catchUpFetcher.start(session, subscription, now);
    }

    /** Stops listening to a topic. */
    public void leave(final NodeRequest.Leave request) {
        final Session session = registry.get(request.sessionId());
        final GroupSubscription subscription = session == null ? null : session.subscription(request.topic());
        if (subscription != null) {
            registry.unsubscribe(session, subscription);
        }
        out.respond(request.requestId(), new Response(OK, 0, "{}"));
    }

    /**
     * Opens a session on all its topics at once, with one cursor over them.
     *
     * @param cursor a position per topic; null where the caller's cursor is none
     */
    public void subscribe(final NodeRequest.Subscribe request, final Map<String, Long> cursor, final long now) {
        if (cursor == null) {
            refuseInvalid(request.requestId(), "cursor", "not a cursor of this service");
            return;
        }
        if (request.topics().isEmpty() || request.topics().size() > maxTopics.getAsInt()) {
            refuseInvalid(request.requestId(), "topics", "1 to " + maxTopics.getAsInt() + " topics are needed");
            return;
        }
        if (registry.isFull()) {
            refuseFull(request.requestId());
            return;
        }
        final Session session = new Session(request.requestId(), request.key(), true, now + timing.deliverMs());
        final RouteFinder finder = routes.apply(now);
        // topics of one group are read together, for a space may promise one order over all its topics
        final TreeMap<Integer, GroupSubscription> byGroup = new TreeMap<>();
        for (final String topic : new LinkedHashSet<>(request.topics())) {
            final Route route = finder.admit(request.key(), topic);
            if (route.isRefused()) {
                out.respond(request.requestId(), route.refusal());
                return;
            }
            byGroup.computeIfAbsent(route.group(), group -> new GroupSubscription(group, 0, session.deadline))
                    .include(topic, cursor.getOrDefault(topic, START_AT_END));
        }
        registry.add(session);
        byGroup.values().forEach(subscription -> registry.subscribe(session, subscription));
        byGroup.values().forEach(subscription -> catchUpFetcher.start(session, subscription, now));
    }

    /** The caller's session has ended. */
    public void end(final long sessionId) {
        final Session session = registry.get(sessionId);
        if (session != null) {
            registry.remove(session);
        }
    }

    private void refuseFull(final long requestId) {
        out.respond(requestId, Refusals.retryLater(timing, "busy", "this node holds as many sessions as it may"));
    }

    private void refuseInvalid(final long requestId, final String code, final String why) {
        out.respond(requestId, Refusals.refused(ResponseStatus.BAD_REQUEST, 0, code, why));
    }

    // ---- a new configuration

    /** Ends at once what stood on a key or a space that a new configuration took away. */
    public void reviewPermissions(final long now) {
        final RouteFinder finder = routes.apply(now);
        for (final Session session : registry.sessions()) {
            reviewPermissions(session, finder);
        }
    }

    private void reviewPermissions(final Session session, final RouteFinder finder) {
        for (final GroupSubscription subscription : session.subscriptions()) {
            final Revocation revocation = revocation(session, subscription, finder);
            if (revocation != null
                    && terminator.end(session, subscription, revocation.response, revocation.closeReason)) {
                return;
            }
        }
    }

    /** Null where all topics of the subscription may be listened to as before. */
    private Revocation revocation(
            final Session session, final GroupSubscription subscription, final RouteFinder finder) {
        for (final String topic : subscription.topics()) {
            final Route route = finder.admit(session.key, topic);
            if (!route.isRefused() && route.group() != subscription.group) {
                return new Revocation(Refusals.retryLater(timing, "moved", "the topic moved"), "topic moved");
            }
            if (route.isRefused() && !Refusals.isTemporary(route.refusal())) {
                return new Revocation(route.refusal(), route.because());
            }
        }
        return null;
    }

    // ---- leaving

    /** Spreads the sessions' moves to other nodes over the time. */
    public void scheduleMoves(final long over, final long now) {
        drain.schedule(over, now);
    }

    /** The sessions stay. */
    public void cancelMoves() {
        drain.cancel();
    }

    /**
     * Moves the sessions whose time has come.
     *
     * @param nextAddress of another gateway, for the next caller; empty where none is known
     */
    public void moveDue(final Supplier<String> nextAddress, final long now) {
        drain.moveDue(nextAddress, now);
    }

    // ---- timers

    /** Retries fetches, gives up what is overdue, and keeps idle sessions alive. */
    public void tick(final long now) {
        sources.expire(now);
        for (final long id : registry.needingTimer()) {
            tick(registry.get(id), now);
        }
        feedFetcher.tick(now);
    }

    private void tick(final Session session, final long now) {
        if (!session.started && now >= session.deadline) {
            terminator.sessionTimedOut(session);
            return;
        }
        for (final GroupSubscription subscription : session.subscriptions()) {
            if (subscription.pendingJoin != 0 && now >= subscription.deadline) {
                terminator.joinTimedOut(session, subscription);
            } else {
                catchUpFetcher.retryIfOverdue(session, subscription, now);
            }
        }
        if (!session.sharedCursor && session.isLive()) {
            registry.needsNoTimer(session);
        }
        if (session.sharedCursor && session.started && now - session.lastLineAt >= timing.keepAlive()) {
            writer.keepAlive(session, now);
        }
    }

    // ---- messages

    /** What a member sent; the caller has looked whether anything may be delivered just now. */
    public void fetched(final int from, final FetchReply reply, final long now) {
        sources.responded(from);
        final Feed feed = registry.feed(reply.group());
        if (feed != null && feed.fetchId == reply.requestId()) {
            feedFetcher.received(feed, from, reply, now);
        } else {
            catchUpFetcher.received(from, reply, now);
        }
    }

    /** A fetch never left this process. */
    public void unsent(final int to, final Fetch message, final long now) {
        sources.avoid(to, now);
        feedFetcher.unsent(to, message, now);
        catchUpFetcher.unsent(message, now);
    }

    /** A report of listeners never left this process. */
    public void unsent(final ListenerReport message) {
        listenerReporter.unsent(message);
    }

    /** The session with a node broke; what was under way on it may or may not have arrived. */
    public void sessionLost(final int node, final long now) {
        sources.avoid(node, now);
        feedFetcher.sessionLost(node, now);
        catchUpFetcher.sessionLost(node);
    }

    /** Tells each group's leader how many sessions listen to its topics. */
    public void reportListeners(final long now) {
        listenerReporter.report(now);
    }
}
