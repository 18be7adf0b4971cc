package brookpath.coordination.node.gateway;

import static brookpath.coordination.message.ResponseStatus.GONE;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Response;
import brookpath.coordination.route.Refusals;
import jakarta.json.Json;
import java.util.List;

/** Ends sessions, or single subscriptions, and notifies the callers of the reason. */
final class SessionTerminator {
    private static final String LEFT_BEFORE_JOINED = "the session left the topic before it was joined";
    private static final String NOT_READ_IN_TIME = "no in-sync member could be read in time";
    private static final String NO_LONGER_KEPT = "history after the cursor is no longer kept";

    private final SessionRegistry registry;
    private final TimingBounds timing;
    private final JoinReport joins;
    private final Actions out;

    SessionTerminator(
            final SessionRegistry registry, final TimingBounds timing, final JoinReport joins, final Actions out) {
        this.registry = registry;
        this.timing = timing;
        this.joins = joins;
        this.out = out;
    }

    /**
     * Ends a subscription, and the whole session if it has a shared cursor.
     *
     * @param response the response to a pending request, or the reason for the end of a topic
     * @param closeReason the reason for closing a session that has started
     * @return true where the session ended
     */
    boolean end(
            final Session session,
            final GroupSubscription subscription,
            final Response response,
            final String closeReason) {
        if (!session.sharedCursor) {
            endTopic(session, subscription, response);
            return false;
        }
        registry.remove(session);
        if (session.started) {
            out.closeSession(session.id, closeReason);
        } else {
            out.respond(session.id, response);
        }
        return true;
    }

    private void endTopic(final Session session, final GroupSubscription subscription, final Response response) {
        registry.unsubscribe(session, subscription);
        if (subscription.pendingJoin != 0) {
            out.respond(subscription.pendingJoin, response);
        } else {
            out.topicEnded(session.id, subscription.topic(), response);
        }
    }

    /**
     * Answers the requests of a session that ends before they are completed: nobody may wait for them any more, but
     * each holds an entry of the process until it is answered.
     */
    void cancelRequests(final Session session) {
        if (session.sharedCursor && !session.started) {
            out.respond(session.id, cancelled());
        }
        session.subscriptions().forEach(this::cancelJoin);
    }

    /** Answers the join of a subscription that ends before it is completed. */
    void cancelJoin(final GroupSubscription subscription) {
        final long requestId = subscription.takePendingJoin();
        if (requestId != 0) {
            out.respond(requestId, cancelled());
        }
    }

    /** Answers a request that was removed from a queue before it was carried out. */
    void cancel(final long requestId) {
        out.respond(requestId, cancelled());
    }

    private Response cancelled() {
        return Refusals.retryLater(timing, "left", LEFT_BEFORE_JOINED);
    }

    /** Ends a subscription for which records that it has not read yet were trimmed. */
    void historyGone(final Session session, final GroupSubscription subscription, final List<String> topics) {
        joins.historyGone();
        final String json = Json.createObjectBuilder()
                .add("outcome", "gone")
                .add("code", "gone")
                .add("why", NO_LONGER_KEPT)
                .add("topics", Json.createArrayBuilder(topics))
                .build()
                .toString();
        end(session, subscription, new Response(GONE, 0, json, "gone"), NO_LONGER_KEPT);
    }

    /** Refuses a session that did not start by its deadline. */
    void sessionTimedOut(final Session session) {
        registry.remove(session);
        out.respond(session.id, Refusals.retryLater(timing, "history", NOT_READ_IN_TIME));
    }

    /** Refuses the join of a topic that did not start by its deadline. */
    void joinTimedOut(final Session session, final GroupSubscription subscription) {
        joins.timedOut();
        registry.unsubscribe(session, subscription);
        out.respond(subscription.pendingJoin, Refusals.retryLater(timing, "history", NOT_READ_IN_TIME));
    }
}
