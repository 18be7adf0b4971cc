package brookpath.coordination.node.gateway;

import static brookpath.coordination.message.ResponseStatus.BAD_REQUEST;
import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.Cursor;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.route.Refusals;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;

/** Executes or refuses the callers' requests that open and end sessions or change their subscriptions. */
public final class SessionRequests {
    private static final long START_AT_END = -1;

    private final IntSupplier maxTopics;
    private final TimingBounds timing;
    private final LongFunction<RouteFinder> routes;
    private final Actions out;
    private final SessionRegistry registry;
    private final CatchUpFetcher catchUpFetcher;
    private final SessionTerminator terminator;

    /**
     * @param maxTopics the most topics that a session may listen to
     * @param routes gives the route finder for a time in monotonic milliseconds
     */
    SessionRequests(
            final SessionRegistry registry,
            final CatchUpFetcher catchUpFetcher,
            final SessionTerminator terminator,
            final IntSupplier maxTopics,
            final TimingBounds timing,
            final LongFunction<RouteFinder> routes,
            final Actions out) {
        this.registry = registry;
        this.catchUpFetcher = catchUpFetcher;
        this.terminator = terminator;
        this.maxTopics = maxTopics;
        this.timing = timing;
        this.routes = routes;
        this.out = out;
    }

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
        final long start = request.cursor() == null ? START_AT_END : Cursor.decodePosition(request.cursor());
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
            // joining a topic again restarts it at the requested cursor
            terminator.cancelJoin(previous);
            registry.unsubscribe(session, previous);
        }
        final GroupSubscription subscription =
                new GroupSubscription(route.group(), request.requestId(), now, now + timing.joinDeadline());
        subscription.include(request.topic(), start);
        registry.subscribe(session, subscription);
        catchUpFetcher.start(session, subscription, now);
    }

    /** Stops listening to a topic. */
    public void leave(final NodeRequest.Leave request) {
        final Session session = registry.get(request.sessionId());
        final GroupSubscription subscription = session == null ? null : session.subscription(request.topic());
        if (subscription != null) {
            terminator.cancelJoin(subscription);
            registry.unsubscribe(session, subscription);
        }
        out.respond(request.requestId(), new Response(OK, 0, "{}"));
    }

    /** Refuses a join that was not completed before its session left the topic. */
    public void refuseCancelledJoin(final NodeRequest.Join request) {
        terminator.cancel(request.requestId());
    }

    /**
     * Opens a session on all its topics at once, with one cursor over them.
     *
     * @param cursor a position per topic; null where the caller's cursor is malformed
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
        final TreeMap<Integer, GroupSubscription> byGroup = new TreeMap<>();
        final Response refusal = subscriptionsByGroup(session, request, cursor, byGroup, now);
        if (refusal != null) {
            out.respond(request.requestId(), refusal);
            return;
        }
        registry.add(session);
        byGroup.values().forEach(subscription -> registry.subscribe(session, subscription));
        byGroup.values().forEach(subscription -> catchUpFetcher.start(session, subscription, now));
    }

    /**
     * Partitions the topics by group. Those of one group are read together, since a space may guarantee an order across
     * all its topics.
     *
     * @param byGroup receives the subscriptions
     * @return the refusal of the first topic that the key may not listen to; null where it may listen to all
     */
    private Response subscriptionsByGroup(
            final Session session,
            final NodeRequest.Subscribe request,
            final Map<String, Long> cursor,
            final Map<Integer, GroupSubscription> byGroup,
            final long now) {
        final RouteFinder finder = routes.apply(now);
        for (final String topic : new LinkedHashSet<>(request.topics())) {
            final Route route = finder.admit(request.key(), topic);
            if (route.isRefused()) {
                return route.refusal();
            }
            byGroup.computeIfAbsent(route.group(), group -> new GroupSubscription(group, 0, now, session.deadline))
                    .include(topic, cursor.getOrDefault(topic, START_AT_END));
        }
        return null;
    }

    /**
     * Ends the session of a caller that has disconnected.
     *
     * @param queued the IDs of its requests that were still queued, and are not carried out any more
     */
    public void end(final long sessionId, final List<Long> queued) {
        queued.forEach(terminator::cancel);
        final Session session = registry.get(sessionId);
        if (session != null) {
            terminator.cancelRequests(session);
            registry.remove(session);
        }
    }

    private void refuseFull(final long requestId) {
        out.respond(
                requestId, Refusals.retryLater(timing, "busy", "this node has reached its maximum number of sessions"));
    }

    private void refuseInvalid(final long requestId, final String code, final String reason) {
        out.respond(requestId, Refusals.refused(BAD_REQUEST, 0, code, reason));
    }
}
