package brookpath.coordination.node.gateway;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.PeerMessage.Publish;
import brookpath.coordination.message.PeerMessage.PublishReply;
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
 * Forwards publishes to their groups' leaders, in the order in which the callers sent them. What a leader did not take,
 * or what became unknown when a leader or a session was lost, is retried with whoever leaders the group then, for the
 * sequence makes a repeat harmless. Only a publish whose deadline has passed is given back, as refused where it
 * certainly was not appended, else as unsettled.
 */
public final class PublishForwarder {
    /** The most publishes that are under way at a time. */
    private static final int MAX_PUBLISHES = 4_096;

    private final TimingBounds timing;
    private final LongFunction<RouteFinder> routes;
    private final LongSupplier ids;
    private final Actions out;
    private final LeaderAvailability leaders;
    private final TreeMap<Integer, PublishQueue> queues = new TreeMap<>();
    private final Map<Long, Integer> groupOf = new HashMap<>();

    /**
     * @param routes the routes as the tables stand at a time
     * @param ids never the same twice, and rising
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

    /** How many publishes are under way. */
    public int size() {
        return groupOf.size();
    }

    /** Whether something waits for a timer rather than for a reply. */
    public boolean needsTimer() {
        return queues.values().stream().anyMatch(PublishQueue::needsTimer);
    }

    /**
     * Takes a publish that was admitted, and sends it if its group has a leader.
     *
     * @param answerMs how long the caller waits for an answer; 0 where that is unknown
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

    /** How long a publish is retried: no longer than leaves the caller time to hear of it. */
    private long patience(final long answerMs) {
        if (answerMs == 0) {
            return timing.forwardDeadline();
        }
        return Math.min(timing.forwardDeadline(), answerMs * 3 / 4);
    }

    /** Looks which groups have a leader: one that has been without for longer than an election is not waited for. */
    public void checkLeaders(final int groups, final long now) {
        leaders.check(groups, now);
    }

    /** Gives back what is overdue and retries the rest where its pause is over. */
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

    /** Sends, in order, what is not with the group's present leader. */
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

    /** A leader's reply to a publish. */
    public void reply(final int from, final PublishReply reply, final long now) {
        final PublishQueue queue = queueOf(reply.requestId());
        final ForwardedPublish publish = queue == null ? null : queue.get(reply.requestId());
        if (publish == null) {
            return;
        }
        switch (reply.outcome()) {
            case PublishReply.ACCEPTED -> committed(queue, publish, reply);
            case PublishReply.REFUSED_FOR_GOOD -> refusedForGood(queue, publish, from, reply);
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
            // an earlier attempt may lie in a log, and its sequence may only have been forgotten
            unsettled(
                    publish.request(),
                    "node " + from + " said " + reply.why() + ", after an attempt whose end is unknown");
            return;
        }
        note(publish.request(), "node " + from + " said " + reply.why());
        out.respond(
                publish.request().requestId(), Refusals.refused(ResponseStatus.CONFLICT, 0, "sequence", reply.why()));
    }

    private void notTaken(
            final PublishQueue queue,
            final ForwardedPublish publish,
            final int from,
            final PublishReply reply,
            final long now) {
        if (!publish.isWith(from)) {
            // a late reply to an attempt that was given up since
            return;
        }
        publish.failed(reply.why());
        if (reply.outcome() == PublishReply.UNSETTLED) {
            publish.markUncertain();
        }
        final boolean notLeader = reply.outcome() == PublishReply.NOT_LEADER;
        final boolean namesAnother = reply.leaderHint() != 0 && reply.leaderHint() != from;
        if (notLeader && namesAnother && !queue.isHinted(reply.leaderHint())) {
            queue.followHint(reply.leaderHint(), now + timing.down());
        } else {
            if (notLeader) {
                queue.dropHint();
            }
            queue.pause(timing, now);
        }
        queue.takeBackFrom(reply.requestId(), from);
        send(groupOf.get(reply.requestId()), queue, now);
    }

    /** The message never left this process for the node, so that attempt leaves nothing in doubt. */
    public void unsent(final int to, final Publish message, final long now) {
        final PublishQueue queue = queueOf(message.requestId());
        final ForwardedPublish publish = queue == null ? null : queue.get(message.requestId());
        // late word of an earlier attempt says nothing of the one that is under way
        if (publish != null && publish.isWith(to)) {
            publish.endAttempt();
            publish.failed("no session to the group's master");
            queue.pause(timing, now);
        }
    }

    /** The session with a node broke: what was under way on it may or may not have arrived. */
    public void sessionLost(final int node, final long now) {
        final String why = "the session with node " + node + " broke";
        for (final PublishQueue queue : queues.values()) {
            if (queue.takeBackAll(node, why)) {
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

    private void refuse(final NodeRequest.Publish request, final String code, final String why) {
        note(request, why);
        out.respond(request.requestId(), Refusals.retryLater(timing, code, why));
    }

    private void unsettled(final NodeRequest.Publish request, final String why) {
        note(request, why);
        out.respond(
                request.requestId(),
                Refusals.response(ResponseStatus.UNSETTLED, timing.retryAfterMs(), "unsettled", "unsettled", why));
    }

    /** The notes are what is left to explain a publish from afterwards; committed ones explain themselves. */
    private void note(final NodeRequest.Publish request, final String how) {
        out.note("publish " + request.topic() + " " + request.sender() + "/" + request.seq() + ": " + how);
    }
}
