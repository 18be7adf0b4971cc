package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.Fetch;
import brookpath.coordination.message.PeerMessage.FetchReply;
import brookpath.coordination.message.PeerMessage.ListenerReport;
import brookpath.coordination.route.RouteFinder;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The callers' sessions on a gateway: dispatches their requests, the group members' replies and the timers to the class
 * that handles each. Times are monotonic milliseconds.
 */
public final class Subscriptions {
    private final TimingBounds timing;
    private final LongFunction<RouteFinder> routes;
    private final SessionRegistry registry;
    private final FetchSources sources;
    private final SessionWriter writer;
    private final SessionTerminator terminator;
    private final JoinReport joinReport;
    private final FeedFetcher feedFetcher;
    private final CatchUpFetcher catchUpFetcher;
    private final ListenerReporter listenerReporter;
    private final SessionDrain drain;
    private final SessionRequests requests;
    private final PermissionReview permissions;

    /**
     * @param self the number of this node
     * @param maxTopics the most topics that a session may listen to
     * @param routes gives the route finder for a time in monotonic milliseconds
     * @param ids gives request IDs, ascending
     */
    public Subscriptions(
            final int self,
            final IntSupplier maxTopics,
            final TimingBounds timing,
            final LongFunction<RouteFinder> routes,
            final LongSupplier ids,
            final Actions out) {
        this.timing = timing;
        this.routes = routes;
        registry = new SessionRegistry(ids);
        sources = new FetchSources(timing, routes);
        writer = new SessionWriter(self, out);
        joinReport = new JoinReport(timing, out);
        terminator = new SessionTerminator(registry, timing, joinReport, out);
        feedFetcher = new FeedFetcher(registry, sources, writer, terminator, timing, ids, out);
        catchUpFetcher =
                new CatchUpFetcher(registry, sources, feedFetcher, writer, terminator, joinReport, timing, ids, out);
        listenerReporter = new ListenerReporter(registry, timing, routes, ids, out);
        drain = new SessionDrain(registry, terminator, out);
        requests = new SessionRequests(registry, catchUpFetcher, terminator, maxTopics, timing, routes, out);
        permissions = new PermissionReview(registry, terminator, timing);
    }

    /** The number of sessions. */
    public int size() {
        return registry.size();
    }

    /** Whether a session waits for a timer rather than for a reply. */
    public boolean needsTimer() {
        return registry.needsTimer();
    }

    /** Whether the session exists on this node and listens to the topic. */
    public boolean listens(final long sessionId, final String topic) {
        final Session session = registry.get(sessionId);
        return session != null && session.subscription(topic) != null;
    }

    /** Executes the callers' requests. */
    public SessionRequests requests() {
        return requests;
    }

    /** Ends the subscriptions for which a new configuration no longer gives permission. */
    public void reviewPermissions(final long now) {
        permissions.reviewAll(routes.apply(now));
    }

    /** A session's connection has taken what was delivered to it. */
    public void flushed(final long sessionId, final long now) {
        final Session session = registry.get(sessionId);
        if (session != null) {
            catchUpFetcher.flushed(session, now);
        }
    }

    // ---- drain

    /** Schedules the moves of all sessions to other nodes, spread over the duration. */
    public void scheduleMoves(final long durationMs, final long now) {
        drain.schedule(durationMs, now);
    }

    /** Cancels the scheduled moves. */
    public void cancelMoves() {
        drain.cancel();
    }

    /**
     * Moves the sessions whose move is due.
     *
     * @param nextAddress gives the address of another gateway for the next caller; empty where none is known
     */
    public void moveDue(final Supplier<String> nextAddress, final long now) {
        drain.moveDue(nextAddress, now);
    }

    // ---- timers

    /** Retries fetches, ends overdue sessions and topics, and keeps idle sessions alive. */
    public void tick(final long now) {
        sources.expire(now);
        for (final long id : registry.needingTimer()) {
            tick(registry.get(id), now);
        }
        feedFetcher.tick(now);
        joinReport.tick(now);
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

    /** Handles a group member's reply to a fetch; called only while this node holds the lease on the configuration. */
    public void fetched(final int from, final FetchReply reply, final long now) {
        sources.responded(from);
        final Feed feed = registry.feed(reply.group());
        final boolean newest = feed != null && feed.fetches.isNewest(reply.requestId());
        if (feed != null && feed.fetches.remove(reply.requestId())) {
            feedFetcher.received(feed, from, reply, newest, now);
        } else {
            catchUpFetcher.received(from, reply, now);
        }
    }

    /** A fetch was not sent. */
    public void unsent(final int to, final Fetch message, final long now) {
        sources.avoid(to, now);
        feedFetcher.unsent(to, message, now);
        catchUpFetcher.unsent(message, now);
    }

    /** A listener report was not sent. */
    public void unsent(final ListenerReport message) {
        listenerReporter.unsent(message);
    }

    /** The connection to a node broke; messages in flight on it may or may not have arrived. */
    public void connectionLost(final int node, final long now) {
        sources.avoid(node, now);
        feedFetcher.connectionLost(node, now);
        catchUpFetcher.connectionLost(node);
    }

    /** Reports to each group's leader how many sessions listen to its topics. */
    public void reportListeners(final long now) {
        listenerReporter.report(now);
    }
}
