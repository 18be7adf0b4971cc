package brookpath.coordination.node.gateway;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.ListenerCountStatus;
import brookpath.coordination.message.PeerMessage.ListenerCountReply;
import brookpath.coordination.message.PeerMessage.ListenerCountRequest;
import brookpath.coordination.message.Response;
import brookpath.coordination.route.Refusals;
import brookpath.coordination.route.Route;
import java.util.Iterator;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** The callers' requests for listener counts that await a reply from a group's leader. */
public final class ListenerCountRequests {
    private static final int MAX_REQUESTS = 4_096;

    private static final String JSON_START = "{\"listeners\":";
    private static final String JSON_END = "}";

    private record PendingCount(long requestId, long deadline, boolean excludesCaller) {}

    private final TimingBounds timing;
    private final LongSupplier ids;
    private final Actions out;
    private final TreeMap<Long, PendingCount> pending = new TreeMap<>();

    /** @param ids gives request IDs, ascending */
    public ListenerCountRequests(final TimingBounds timing, final LongSupplier ids, final Actions out) {
        this.timing = timing;
        this.ids = ids;
        this.out = out;
    }

    /**
     * Sends the request to the group's leader.
     *
     * @param excludesCaller whether the caller is a listener itself and must not be counted
     */
    public void ask(
            final long requestId, final Route route, final String topic, final boolean excludesCaller, final long now) {
        if (pending.size() >= MAX_REQUESTS) {
            refuse(requestId, "busy", "too many listener count requests are in flight on this node");
            return;
        }
        final long id = ids.getAsLong();
        pending.put(id, new PendingCount(requestId, now + timing.forwardDeadline(), excludesCaller));
        out.send(route.node(), new ListenerCountRequest(id, route.group(), topic));
    }

    /** Responds to the caller with the leader's reply. */
    public void reply(final ListenerCountReply reply) {
        final PendingCount count = pending.remove(reply.requestId());
        if (count == null) {
            return;
        }
        if (reply.status() != ListenerCountStatus.OK) {
            refuse(count.requestId, "master", "the leader has no lease at present");
            return;
        }
        final int listeners = Math.max(0, reply.count() - (count.excludesCaller ? 1 : 0));
        out.respond(count.requestId, new Response(OK, 0, JSON_START + listeners + JSON_END));
    }

    /** The number of listeners in a successful response to such a request. */
    public static int listenersIn(final Response response) {
        final String json = response.json();
        return Integer.parseInt(json.substring(JSON_START.length(), json.length() - JSON_END.length()));
    }

    /** Ends a request that was not sent. */
    public void unsent(final int to, final ListenerCountRequest message) {
        final PendingCount count = pending.remove(message.requestId());
        if (count != null) {
            refuse(count.requestId, "master", "no connection to node " + to);
        }
    }

    /** Ends the requests whose deadline has passed. */
    public void tick(final long now) {
        final Iterator<PendingCount> counts = pending.values().iterator();
        while (counts.hasNext()) {
            final PendingCount count = counts.next();
            if (now >= count.deadline) {
                refuse(count.requestId, "count", "no reply from the leader in time");
                counts.remove();
            }
        }
    }

    private void refuse(final long requestId, final String code, final String reason) {
        out.respond(requestId, Refusals.retryLater(timing, code, reason));
    }
}
