package brookpath.transport.loop;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.coordination.action.Action;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/** The queue of events for the state thread. Any thread adds; the state thread alone polls. */
final class EventQueue {
    /** Something that happened to the node, and the actions that result. */
    interface Event {
        List<Action> apply(Node node, Time time);
    }

    /** Beyond this many queued events callers' requests are refused. */
    private static final int MAX_EVENTS = 8_192;
    /** Beyond this many queued events a peer's session is closed. */
    private static final int MAX_PEER_EVENTS = 4 * MAX_EVENTS;
    /** Requests a tick of the node; queued at most once. */
    private static final Event TICK = (node, time) -> List.of();

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final AtomicBoolean tickQueued = new AtomicBoolean();

    void add(final Event event) {
        events.add(event);
    }

    /** Has the node ticked soon, without waiting for its timer. */
    void requestTick() {
        if (tickQueued.compareAndSet(false, true)) {
            events.add(TICK);
        }
    }

    /** The next event; null where none came within the time. */
    Event poll(final long waitMs) throws InterruptedException {
        return waitMs <= 0 ? events.poll() : events.poll(waitMs, MILLISECONDS);
    }

    /** Whether the event requests a tick; from here on a later request is queued again. */
    @SuppressWarnings("ReferenceEquality") // why: TICK is a sentinel, compared by identity
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
