package brookpath.transport.loop;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.usage.PostOutcome;
import brookpath.state.wal.WriteAheadLog;
import brookpath.transport.identity.ProcessIdentity;
import brookpath.transport.identity.RandomNumbers;
import brookpath.transport.wire.Wire;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Runs one {@link Node} with real threads, clocks, sockets and a disk, and is the only access that traffic threads have
 * to it. Any thread may call all methods except {@link #start}; none of them blocks.
 */
public final class Host implements Wire.Inbox, AutoCloseable {
    /** Sends a usage report to the platform. */
    public interface Poster {
        /** Called on the state thread, so it must not block; a failure of the future counts as an unknown outcome. */
        CompletableFuture<PostOutcome> accept(Action.Post post);
    }

    /** The traffic side of a listening session. */
    public interface Sink {
        /** Queues a delivery; false if the queue is full. The session is then ended, and its cursors stay valid. */
        boolean offer(Action.ToSession action);

        /**
         * Runs the task once everything that was queued before has been passed on to the connection. A sink without a
         * queue of its own runs it at once.
         */
        default void whenFlushed(final Runnable task) {
            task.run();
        }

        /** Ends the session; the reason is sent to the caller. */
        void close(String reason);
    }

    private final TimingBounds timing;
    private final EventQueue events = new EventQueue();
    private final PendingRequests requests;
    private final SessionSinks sinks = new SessionSinks();
    private final Wire wire;
    private final LoopThreads threads;
    private final HeartbeatLoop heartbeats;
    private final DiskLoop disk;
    private final StateLoop state;

    /**
     * @param self the identity of this process, as it is sent to peers
     * @param writeAheadLog null if the machine has no disk
     * @param addresses the peers that the node needs sessions with: addresses by node number
     * @param leaseUntil the time until which lines may be delivered, in milliseconds of the monotonic clock
     * @param wireThreads the number of event loop threads for the sessions with peers
     * @param fatal ends the process; called on a thread that failed
     */
    public Host(
            final Node node,
            final ProcessIdentity self,
            final TimingBounds timing,
            final WriteAheadLog writeAheadLog,
            final Function<Node, Map<Integer, String>> addresses,
            final LongSupplier leaseUntil,
            final Poster poster,
            final int wireThreads,
            final Runnable fatal) {
        this.timing = timing;
        // Random rather than derived from the clock, so that the IDs never repeat those of an earlier incarnation of
        // this process, even if its clock was set back.
        requests = new PendingRequests(RandomNumbers.firstId());
        wire = new Wire(self, this, timing.heartbeat() / 2, 3 * timing.deliverMs() / 2, wireThreads);
        threads = new LoopThreads(fatal);
        heartbeats = new HeartbeatLoop(node, timing, wire, events, threads);
        disk = writeAheadLog == null ? null : new DiskLoop(writeAheadLog, timing, events, threads);
        final ActionExecutor executor = new ActionExecutor(events, wire, heartbeats, disk, requests, sinks, poster);
        state = new StateLoop(node, timing, wire, events, heartbeats, executor, threads, addresses, leaseUntil);
    }

    /** Executes the node's first actions on the calling thread, then starts the threads. */
    public void start(final List<Action> first) {
        state.execute(first);
        threads.start("state", state);
        threads.start("replication-listener", heartbeats);
        if (disk != null) {
            threads.start("disk", disk);
        }
    }

    /** Statistics of the sessions with peers, as JSON. */
    public String wireJson() {
        return WireReport.json(wire, state.zones());
    }

    /**
     * The lengths of the queues, and the number of requests refused since the start because the queues were full, as
     * JSON.
     */
    public String queuesJson() {
        return "{\"events\":" + events.size() + ",\"jobs\":" + requests.size() + ",\"writes\":"
                + (disk == null ? 0 : disk.queuedWrites()) + ",\"beats\":" + heartbeats.queuedHeartbeats()
                + ",\"sessions\":"
                + sinks.size() + ",\"refusedBusy\":" + requests.refusedCount() + "}";
    }

    /** The sessions with peers; used to accept them, and to share their event loops. */
    public Wire wire() {
        return wire;
    }

    /**
     * Whether the lease still permits delivery. To be checked right before each line is sent, so that a process that
     * was paused beyond its lease delivers nothing.
     */
    public boolean mayDeliver() {
        return state.mayDeliver();
    }

    /** Completes once the node first holds the configuration lease; before that it serves no caller. */
    public CompletableFuture<Void> firstLease() {
        return state.firstLease();
    }

    // ---- from the traffic threads

    /** An ID that no other request of this process has, in this or any other incarnation. */
    public long nextRequestId() {
        return requests.nextId();
    }

    /** Submits a request to the node; completes at once with a 503 refusal if the queues are full. */
    public CompletableFuture<Response> submit(final long requestId, final NodeRequest request) {
        return begin(requestId, request, response -> {});
    }

    /**
     * As {@link #submit(long, NodeRequest)}, and passes the response to the handler in the order of the node's actions:
     * on the state thread, after the deliveries before it and ahead of those after it.
     */
    public void submit(final long requestId, final NodeRequest request, final Consumer<Response> handler) {
        begin(requestId, request, handler);
    }

    /** @param handler attached before the node sees the request; a thread that waits for the response may run it */
    private CompletableFuture<Response> begin(
            final long requestId, final NodeRequest request, final Consumer<Response> handler) {
        if (events.refusesRequests() || requests.isFull()) {
            // A refusal at this point is certain, since processing has not begun, and costs the state thread nothing.
            sinks.remove(requestId);
            final CompletableFuture<Response> refused = requests.refuse(timing.retryAfterMs());
            refused.thenAccept(handler);
            return refused;
        }
        final CompletableFuture<Response> response = requests.add(requestId);
        response.thenAccept(handler);
        submitWithoutReply(request);
        return response;
    }

    /** Submits a request whose response nobody waits for. */
    public void submitWithoutReply(final NodeRequest request) {
        events.add((node, time) -> node.request(request, time));
    }

    /**
     * Submits the request that opens a listening session, whose lines are delivered to the sink. The sink is released
     * where the request is refused.
     */
    public CompletableFuture<Response> subscribe(final long sessionId, final NodeRequest request, final Sink sink) {
        sinks.add(sessionId, sink);
        return begin(sessionId, request, response -> releaseIfRefused(sessionId, response));
    }

    /** As {@link #subscribe(long, NodeRequest, Sink)}, with a handler as for {@link #submit}. */
    public void subscribe(
            final long sessionId, final NodeRequest request, final Sink sink, final Consumer<Response> handler) {
        sinks.add(sessionId, sink);
        begin(sessionId, request, response -> {
            releaseIfRefused(sessionId, response);
            handler.accept(response);
        });
    }

    private void releaseIfRefused(final long sessionId, final Response response) {
        if (response.status() != ResponseStatus.OK.code()) {
            releaseSink(sessionId);
        }
    }

    /** Releases a sink after the actions of the present event, which may still redirect its caller. */
    private void releaseSink(final long sessionId) {
        events.add((node, time) -> {
            sinks.remove(sessionId);
            return List.of();
        });
    }

    /** Ends a listening session whose caller has disconnected. */
    public void unsubscribe(final long sessionId) {
        sinks.remove(sessionId);
        submitWithoutReply(new NodeRequest.Unsubscribe(sessionId));
    }

    // ---- from Netty's threads

    @Override
    public void frame(final int from, final PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            heartbeats.receive(from, heartbeat);
        } else if (events.refusesPeers()) {
            // Messages lost with a session are retried or reported as unsettled, as with any broken session; if this
            // one were merely dropped, its sender would wait for an answer.
            wire.closeSessions(from);
        } else {
            events.add((node, time) -> node.message(from, message, time));
        }
    }

    @Override
    public void sessionUp(final int node) {
        // A node that returns exchanges heartbeats at once rather than in the next round. Only this node gets one,
        // since at a start the sessions with all peers begin one after another.
        heartbeats.sessionUp(node);
    }

    @Override
    public void connectionLost(final int lost) {
        events.add((node, time) -> node.connectionLost(lost, time));
    }

    /** Stops the threads and closes all sessions. */
    @Override
    public void close() {
        threads.interrupt();
        wire.close();
        sinks.closeAll("this node is shutting down");
        threads.join();
    }
}
