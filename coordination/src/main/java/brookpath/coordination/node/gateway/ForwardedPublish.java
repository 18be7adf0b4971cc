package brookpath.coordination.node.gateway;

import brookpath.coordination.message.PeerMessage.Publish;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder.Leader;

/** A caller's publish in flight: its caller has no response yet. */
final class ForwardedPublish {
    private final NodeRequest.Publish request;
    private final Route route;
    private final long configurationVersion;
    private final long deadline;
    private Leader target = Leader.NONE;
    private boolean maybeAppended;
    private String lastFailure = "the group has no leader at present";

    /** @param deadline when the caller gets a response even without an outcome, in monotonic milliseconds */
    ForwardedPublish(
            final NodeRequest.Publish request,
            final Route route,
            final long configurationVersion,
            final long deadline) {
        this.request = request;
        this.route = route;
        this.configurationVersion = configurationVersion;
        this.deadline = deadline;
    }

    NodeRequest.Publish request() {
        return request;
    }

    /** Why the last attempt failed, in a sentence. */
    String lastFailure() {
        return lastFailure;
    }

    boolean expired(final long now) {
        return now >= deadline;
    }

    /** Whether no attempt is in flight. */
    boolean isWaiting() {
        return target.node() == 0;
    }

    boolean isSentTo(final int node) {
        return target.node() == node;
    }

    /** Whether an attempt before the one in flight may have succeeded. */
    boolean isMaybeAppended() {
        return maybeAppended;
    }

    /** Whether the publish may be in a log, so that its outcome is unknown. */
    boolean isUncertain() {
        return maybeAppended || !isWaiting();
    }

    /** Begins an attempt with the leader; an attempt in flight to another node may have succeeded. */
    void beginAttempt(final Leader leader) {
        maybeAppended = isUncertain();
        target = leader;
    }

    /** Ends the attempt in flight, which may have succeeded. */
    void endAttemptUncertain() {
        maybeAppended = true;
        target = Leader.NONE;
    }

    /** Ends the attempt in flight, which certainly did not succeed. */
    void endAttempt() {
        target = Leader.NONE;
    }

    void markUncertain() {
        maybeAppended = true;
    }

    void failed(final String reason) {
        lastFailure = reason;
    }

    Publish message(final long id) {
        return new Publish(
                id,
                route.group(),
                configurationVersion,
                request.seq(),
                route.tenant(),
                request.topic(),
                request.sender(),
                request.text());
    }
}
