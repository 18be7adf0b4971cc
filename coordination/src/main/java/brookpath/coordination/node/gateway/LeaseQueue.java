package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.node.NodeRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Requests that cannot be decided without the lease on the configuration, and wait briefly for it in FIFO order. */
public final class LeaseQueue {
    private static final int MAX_REQUESTS = 4_096;
    private static final long NEVER = Long.MAX_VALUE / 2;

    private static final long NONE = 0;

    private record WaitingRequest(NodeRequest request, long deadline) {}

    private final TimingBounds timing;
    private final ArrayDeque<WaitingRequest> waiting = new ArrayDeque<>();
    private long leaseMissingSince = NEVER;

    public LeaseQueue(final TimingBounds timing) {
        this.timing = timing;
    }

    /**
     * Queues the request if the lease is missing but may be expected soon.
     *
     * @return false where the request must be handled at once
     */
    public boolean offer(final NodeRequest request, final boolean leased, final long now) {
        if (leased || isLeaseOverdue(now) || waiting.size() >= MAX_REQUESTS) {
            return false;
        }
        waiting.add(new WaitingRequest(request, now + timing.deliverMs() / 2));
        return true;
    }

    /** Passes to the handler the requests that need not wait any longer, or whose deadline has passed. */
    public void release(final boolean leased, final long now, final Consumer<NodeRequest> handler) {
        if (leased) {
            leaseMissingSince = NEVER;
        } else if (leaseMissingSince > now) {
            leaseMissingSince = now;
        }
        while (!waiting.isEmpty() && (leased || now >= waiting.peek().deadline || isLeaseOverdue(now))) {
            handler.accept(waiting.poll().request);
        }
    }

    /**
     * Removes the waiting joins of a topic by a session, which are not to be executed any more.
     *
     * @return the removed joins in FIFO order, none of which has been answered
     */
    public List<NodeRequest.Join> removeJoins(final long sessionId, final String topic) {
        final List<NodeRequest.Join> removed = new ArrayList<>();
        waiting.removeIf(entry -> entry.request instanceof NodeRequest.Join join
                && join.sessionId() == sessionId
                && join.topic().equals(topic)
                && removed.add(join));
        return removed;
    }

    /**
     * Removes the requests of a session whose caller has disconnected.
     *
     * @return their IDs in FIFO order; none of them has been answered
     */
    public List<Long> removeRequestsOf(final long sessionId) {
        final List<Long> removed = new ArrayList<>();
        waiting.removeIf(entry -> {
            final long requestId = requestOf(entry.request, sessionId);
            return requestId != NONE && removed.add(requestId);
        });
        return removed;
    }

    private static long requestOf(final NodeRequest nodeRequest, final long sessionId) {
        if (nodeRequest instanceof NodeRequest.Open open) {
            return open.requestId() == sessionId ? sessionId : NONE;
        }
        return nodeRequest instanceof NodeRequest.Join join && join.sessionId() == sessionId ? join.requestId() : NONE;
    }

    private boolean isLeaseOverdue(final long now) {
        return now - leaseMissingSince > timing.deliverMs();
    }
}
