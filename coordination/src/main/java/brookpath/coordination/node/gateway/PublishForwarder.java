package brookpath.coordination.node.gateway;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.Publish;
import brookpath.coordination.message.PeerMessage.PublishReply;
import brookpath.coordination.message.PublishOutcome;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.route.Refusals;
import brookpath.coordination.route.Route;
import brookpath.coordination.route.RouteFinder;
import brookpath.coordination.route.RouteFinder.Leader;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/**
 * Forwards publishes to their groups' leaders, in the order in which the callers sent them. A publish that a leader
 * refused temporarily, or whose outcome became unknown when a leader or a connection was lost, is retried with the
 * current leader of the group; its sequence number makes a retry idempotent. A publish whose deadline has passed is
 * refused if it certainly was not appended; otherwise its caller is told that the outcome is unsettled.
 */
public final class PublishForwarder {
    /** The most publishes that may be in flight at a time. */
    private static final int MAX_PUBLISHES = 4_096;

    private final TimingBounds timing;
    private final LongFunction<RouteFinder> routes;
    private final LongSupplier ids;
    private final Actions out;
    private final LeaderAvailability leaders;
    private final TreeMap<Integer, PublishQueue> queues = new TreeMap<>();
    private final Map<Long, Integer> groupOf = new HashMap<>();

    /**
     * @param routes gives the route finder for a time in monotonic milliseconds
     * @param ids gives request IDs, ascending
     */
    public PublishForwarder(
            final TimingBounds timing,
            final LongFunction<RouteFinder> routes,
            final LongSupplier ids,
            final Actions out) {
        this.timing = timing;
        this.routes = routes;
        this.ids = ids;
        this.out = out;
        leaders = new LeaderAvailability(timing, routes);
    }

    /** The number of publishes in flight. */
    public int size() {
        return groupOf.size();
    }

    /** Whether a publish waits for a timer rather than for a reply. */
    public boolean needsTimer() {
        return queues.values().stream().anyMatch(PublishQueue::needsTimer);
    }

    /**
     * Accepts a publish that was admitted, and sends it if its group has a leader.
     *
     * @param answerMs how long the caller waits for a response, in milliseconds; 0 where that is unknown
     */
    public void add(
            final NodeRequest.Publish request,
            final Route route,
            final long configurationVersion,
            final long answerMs,
            final long now) {
        if (groupOf.size() >= MAX_PUBLISHES) {
            refuse(request, "busy", "too many publishes are in flight on this node");
            return;
        }
        if (leaders.isUnavailable(route.group(), now)) {
            refuse(request, "master", "group " + route.group() + " has no leader at present");
            return;
        }
        final long id = ids.getAsLong();
        groupOf.put(id, route.group());
        final PublishQueue queue = queues.computeIfAbsent(route.group(), group -> new PublishQueue());
        queue.add(id, new ForwardedPublish(request, route, configurationVersion, now + retryTimeout(answerMs)));
        send(route.group(), queue, now);
    }

    /** How long a publish is retried, in milliseconds: short enough for the response to reach the caller in time. */
    private long retryTimeout(final long answerMs) {
        if (answerMs == 0) {
            return timing.forwardDeadline();
        }
        return Math.min(timing.forwardDeadline(), answerMs * 3 / 4);
    }

    /**
     * Checks which groups have a leader; publishes to a group without one do not wait for longer than an election
     * takes.
     */
    public void checkLeaders(final int groups, final long now) {
        leaders.check(groups, now);
    }

    /** Responds to the callers of overdue publishes, and retries the other publishes whose back-off has elapsed. */
    public void tick(final long now) {
        queues.forEach((group, queue) -> {
            failOverdue(group, queue, now);
            send(group, queue, now);
        });
        queues.values().removeIf(queue -> queue.isEmpty() && !queue.isPaused(now));
    }

    private void failOverdue(final int group, final PublishQueue queue, final long now) {
        final Iterator<Map.Entry<Long, ForwardedPublish>> entries =
                queue.publishes().entrySet().iterator();
        while (entries.hasNext()) {
            final Map.Entry<Long, ForwardedPublish> entry = entries.next();
            final ForwardedPublish publish = entry.getValue();
            if (!publish.expired(now) && !leaders.isUnavailable(group, now)) {
                continue;
            }
            entries.remove();
            groupOf.remove(entry.getKey());
            fail(publish);
        }
    }

    private void fail(final ForwardedPublish publish) {
        if (publish.isUncertain()) {
            unsettled(publish.request(), "no reply from the leader in time: " + publish.lastFailure());
        } else {
            refuse(publish.request(), "master", publish.lastFailure());
        }
    }

    /** Sends, in order, the publishes that are not in flight to the group's current leader. */
    private void send(final int group, final PublishQueue queue, final long now) {
        if (queue.isEmpty() || queue.isPaused(now)) {
            return;
        }
        final Leader fromHeartbeats = routes.apply(now).leader(group, now);
        final Leader leader = queue.leaderToUse(fromHeartbeats, now);
        if (leader.node() == 0) {
            return;
        }
        queue.publishes().forEach((id, publish) -> {
            if (!publish.isSentTo(leader.node())) {
                publish.beginAttempt(leader);
                out.send(leader.node(), publish.message(id));
            }
        });
    }

    /** Handles a leader's reply to a publish. */
    public void reply(final int from, final PublishReply reply, final long now) {
        final PublishQueue queue = queueOf(reply.requestId());
        final ForwardedPublish publish = queue == null ? null : queue.get(reply.requestId());
        if (publish == null) {
            return;
        }
        switch (reply.outcome()) {
            case ACCEPTED -> committed(queue, publish, reply);
            case REFUSED_FOR_GOOD -> refusedForGood(queue, publish, from, reply);
            default -> notAccepted(queue, publish, from, reply, now);
        }
    }

    private void committed(final PublishQueue queue, final ForwardedPublish publish, final PublishReply reply) {
        remove(queue, reply.requestId());
        queue.resetBackoff();
        final String json = "{\"outcome\":\"accepted\",\"position\":" + reply.position() + "}";
        out.respond(publish.request().requestId(), new Response(OK, 0, json));
    }

    private void refusedForGood(
            final PublishQueue queue, final ForwardedPublish publish, final int from, final PublishReply reply) {
        remove(queue, reply.requestId());
        if (publish.isMaybeAppended()) {
            // an earlier attempt may be in a log: a leader that no longer knows its sequence refuses it as well
            unsettled(
                    publish.request(),
                    "node " + from + " refused: " + reply.reason() + ", after an attempt with an unknown outcome");
            return;
        }
        note(publish.request(), "node " + from + " refused: " + reply.reason());
        out.respond(
                publish.request().requestId(),
                Refusals.refused(ResponseStatus.CONFLICT, 0, "sequence", reply.reason()));
    }

    private void notAccepted(
            final PublishQueue queue,
            final ForwardedPublish publish,
            final int from,
            final PublishReply reply,
            final long now) {
        if (!publish.isSentTo(from)) {
            // a late reply to an attempt that has already ended
            return;
        }
        publish.failed(reply.reason());
        if (reply.outcome() == PublishOutcome.UNSETTLED) {
            publish.markUncertain();
        }
        final boolean notLeader = reply.outcome() == PublishOutcome.NOT_LEADER;
        final boolean namesAnother = reply.leaderHint() != 0 && reply.leaderHint() != from;
        if (notLeader && namesAnother && !queue.isHinted(reply.leaderHint())) {
            queue.followHint(reply.leaderHint(), now + timing.detectionTime());
        } else {
            if (notLeader) {
                queue.dropHint();
            }
            queue.pause(timing, now);
        }
        queue.endAttemptsFrom(reply.requestId(), from);
        send(groupOf.get(reply.requestId()), queue, now);
    }

    /** The message was not sent to the node: this attempt certainly had no effect. */
    public void unsent(final int to, final Publish message, final long now) {
        final PublishQueue queue = queueOf(message.requestId());
        final ForwardedPublish publish = queue == null ? null : queue.get(message.requestId());
        // a late notification about an earlier attempt does not concern the one in flight
        if (publish != null && publish.isSentTo(to)) {
            publish.endAttempt();
            publish.failed("no connection to the group's leader");
            queue.pause(timing, now);
        }
    }

    /** The connection to a node broke: publishes in flight on it may or may not have arrived. */
    public void connectionLost(final int node, final long now) {
        final String reason = "the connection to node " + node + " broke";
        for (final PublishQueue queue : queues.values()) {
            if (queue.endAllAttempts(node, reason)) {
                queue.pause(timing, now);
            }
        }
    }

    private PublishQueue queueOf(final long id) {
        final Integer group = groupOf.get(id);
        return group == null ? null : queues.get(group);
    }

    private void remove(final PublishQueue queue, final long id) {
        queue.remove(id);
        groupOf.remove(id);
    }

    private void refuse(final NodeRequest.Publish request, final String code, final String reason) {
        note(request, reason);
        out.respond(request.requestId(), Refusals.retryLater(timing, code, reason));
    }

    private void unsettled(final NodeRequest.Publish request, final String reason) {
        note(request, reason);
        out.respond(
                request.requestId(),
                Refusals.response(ResponseStatus.UNSETTLED, timing.retryAfterMs(), "unsettled", "unsettled", reason));
    }

    /** Logs the outcome, so that a failed publish can be explained afterwards; a committed publish is not logged. */
    private void note(final NodeRequest.Publish request, final String outcome) {
        out.note("publish " + request.topic() + " " + request.sender() + "/" + request.seq() + ": " + outcome);
    }
}
