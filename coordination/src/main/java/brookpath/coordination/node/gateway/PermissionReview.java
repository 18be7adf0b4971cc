package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.message.Response;
import brookpath.coordination.route.Refusals;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder;

/** Ends the subscriptions for which a new configuration no longer gives the session permission. */
final class PermissionReview {
    /** Why a subscription ends: the response to its caller, and the reason for closing the session. */
    private record Revocation(Response response, String closeReason) {}

    private final SessionRegistry registry;
    private final SessionTerminator terminator;
    private final TimingBounds timing;

    PermissionReview(final SessionRegistry registry, final SessionTerminator terminator, final TimingBounds timing) {
        this.registry = registry;
        this.terminator = terminator;
        this.timing = timing;
    }

    /** Reviews all sessions against the configuration that the route finder uses. */
    void reviewAll(final RouteFinder finder) {
        for (final Session session : registry.sessions()) {
            review(session, finder);
        }
    }

    private void review(final Session session, final RouteFinder finder) {
        for (final GroupSubscription subscription : session.subscriptions()) {
            final Revocation revocation = revocation(session, subscription, finder);
            if (revocation != null
                    && terminator.end(session, subscription, revocation.response, revocation.closeReason)) {
                return;
            }
        }
    }

    /** The first topic's revocation; null where the session may still listen to all topics of the subscription. */
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
}
