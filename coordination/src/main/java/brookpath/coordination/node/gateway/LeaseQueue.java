package brookpath.coordination.node.gateway;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.node.NodeRequest;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Requests that cannot be decided without the lease on the configuration, and wait briefly for it in FIFO order. */
public final class LeaseQueue {
    private static final int MAX_REQUESTS = 4_096;
    private static final long NEVER = Long.MAX_VALUE / 2;

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

    /** Removes requests whose callers no longer wait for a response. */
    public void removeIf(final Predicate<NodeRequest> abandoned) {
        waiting.removeIf(entry -> abandoned.test(entry.request));
    }

    private boolean isLeaseOverdue(final long now) {
        return now - leaseMissingSince > timing.deliverMs();
    }
}
