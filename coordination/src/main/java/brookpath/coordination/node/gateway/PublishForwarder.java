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
 * refused, or whose outcome became unknown when a leader or a connection was lost, is retried with the leader of the
 * group at that time; the sequence makes a repeat idempotent. Only a publish whose deadline has passed is returned to
 * its caller: as refused where it certainly was not appended, else as unsettled.
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
     * @param routes gives the routes by the tables at a time in monotonic milliseconds
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
     * Adds a publish that was admitted, and sends it if its group has a leader.
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
            refuse(request, "busy", "too many publishes are under way here");
            return;
        }
        if (leaders.isGivenUp(route.group(), now)) {
            refuse(request, "master", "group " + route.group() + " has no master just now");
            return;
        }
        final long id = ids.getAsLong();
        groupOf.put(id, route.group());
        final PublishQueue queue = queues.computeIfAbsent(route.group(), group -> new PublishQueue());
        queue.add(id, new ForwardedPublish(request, route, configurationVersion, now + patience(answerMs)));
        send(route.group(), queue, now);
    }

    /** How long a publish is retried, in milliseconds: it ends early enough for the response to reach the caller. */
    private long patience(final long answerMs) {
        if (answerMs == 0) {
            return timing.forwardDeadline();
        }
        return Math.min(timing.forwardDeadline(), answerMs * 3 / 4);
    }

    /**
     * Checks which groups have a leader; publishes do not wait for a group without one for longer than an election
     * takes.
     */
    public void checkLeaders(final int groups, final long now) {
        leaders.check(groups, now);
    }

    /** Returns overdue publishes to their callers, and retries the others whose back-off is over. */
    public void tick(final long now) {
        queues.forEach((group, queue) -> {
            giveBackOverdue(group, queue, now);
            send(group, queue, now);
        });
        queues.values().removeIf(queue -> queue.isEmpty() && !queue.isPaused(now));
    }

    private void giveBackOverdue(final int group, final PublishQueue queue, final long now) {
        final Iterator<Map.Entry<Long, ForwardedPublish>> entries =
                queue.publishes().entrySet().iterator();
        while (entries.hasNext()) {
            final Map.Entry<Long, ForwardedPublish> entry = entries.next();
            final ForwardedPublish publish = entry.getValue();
            if (!publish.expired(now) && !leaders.isGivenUp(group, now)) {
                continue;
            }
            entries.remove();
            groupOf.remove(entry.getKey());
            giveBack(publish);
        }
    }

    private void giveBack(final ForwardedPublish publish) {
        if (publish.isUncertain()) {
            unsettled(publish.request(), "no word from the master in time: " + publish.lastFailure());
        } else {
            refuse(publish.request(), "master", publish.lastFailure());
        }
    }

    /** Sends, in order, the publishes that are not in flight to the group's present leader. */
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
            if (!publish.isWith(leader.node())) {
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
            default -> notTaken(queue, publish, from, reply, now);
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
            // an earlier attempt may be in a log, and its sequence may only have been forgotten
            unsettled(
                    publish.request(),
                    "node " + from + " said " + reply.reason() + ", after an attempt whose end is unknown");
            return;
        }
        note(publish.request(), "node " + from + " said " + reply.reason());
        out.respond(
                publish.request().requestId(),
                Refusals.refused(ResponseStatus.CONFLICT, 0, "sequence", reply.reason()));
    }

    private void notTaken(
            final PublishQueue queue,
            final ForwardedPublish publish,
            final int from,
            final PublishReply reply,
            final long now) {
        if (!publish.isWith(from)) {
            // a late reply to an attempt that has ended since
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
        queue.takeBackFrom(reply.requestId(), from);
        send(groupOf.get(reply.requestId()), queue, now);
    }

    /** The message was not sent to the node, so that this attempt certainly had no effect. */
    public void unsent(final int to, final Publish message, final long now) {
        final PublishQueue queue = queueOf(message.requestId());
        final ForwardedPublish publish = queue == null ? null : queue.get(message.requestId());
        // a late notification about an earlier attempt does not concern the one in flight
        if (publish != null && publish.isWith(to)) {
            publish.endAttempt();
            publish.failed("no session to the group's master");
            queue.pause(timing, now);
        }
    }

    /** The connection to a node broke: publishes in flight on it may or may not have arrived. */
    public void sessionLost(final int node, final long now) {
        final String reason = "the session with node " + node + " broke";
        for (final PublishQueue queue : queues.values()) {
            if (queue.takeBackAll(node, reason)) {
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

    /** Notes the outcome, by which a publish can be explained afterwards; a committed publish needs no note. */
    private void note(final NodeRequest.Publish request, final String how) {
        out.note("publish " + request.topic() + " " + request.sender() + "/" + request.seq() + ": " + how);
    }
}
