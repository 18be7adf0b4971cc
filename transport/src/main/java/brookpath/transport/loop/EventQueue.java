package brookpath.transport.loop;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.coordination.action.Action;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/** The queue of events for the state thread. Any thread may add events; only the state thread polls. */
final class EventQueue {
    /** An event that is applied to the node and returns the resulting actions. */
    interface Event {
        List<Action> apply(Node node, Time time);
    }

    /** With more queued events than this, callers' requests are refused. */
    private static final int MAX_EVENTS = 8_192;
    /** With more queued events than this, the sessions with a peer that sends a message are closed. */
    private static final int MAX_PEER_EVENTS = 4 * MAX_EVENTS;
    /** Requests a tick of the node; in the queue at most once. */
    private static final Event TICK = (node, time) -> List.of();

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final AtomicBoolean tickQueued = new AtomicBoolean();

    void add(final Event event) {
        events.add(event);
    }

    /** Requests a tick of the node before its timer is due. */
    void requestTick() {
        if (tickQueued.compareAndSet(false, true)) {
            events.add(TICK);
        }
    }

    /** The next event; null if none arrives within the given time. */
    Event poll(final long waitMs) throws InterruptedException {
        return waitMs <= 0 ? events.poll() : events.poll(waitMs, MILLISECONDS);
    }

    /** Whether the event requests a tick; if so, later requests are queued again. */
    @SuppressWarnings("ReferenceEquality") // TICK is a sentinel, compared by identity
    boolean takeTick(final Event event) {
        if (event != TICK) {
            return false;
        }
        tickQueued.set(false);
        return true;
    }

    boolean refusesRequests() {
        return events.size() > MAX_EVENTS;
    }

    boolean refusesPeers() {
        return events.size() > MAX_PEER_EVENTS;
    }

    int size() {
        return events.size();
    }
}
