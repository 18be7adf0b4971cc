package brookpath.transport.loop;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.Response;
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
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Runs one {@link Node} with real threads, clocks, sockets and a disk, and is what the traffic threads see of it. All
 * methods but {@link #start} are for any thread; none of them waits.
 */
public final class Host implements Wire.Inbox, AutoCloseable {
    /** Sends a usage report to the platform. */
    public interface Poster {
        /** Called on the state thread, so it must not block; a failure of the future counts as an unknown outcome. */
        CompletableFuture<PostOutcome> accept(Action.Post post);
    }

    /** The traffic side of a listening session. */
    public interface Sink {
        /** False when its queue is full: the session is then ended, and its cursors stay valid. */
        boolean offer(Action.ToSession action);

        /** Ends the session; the reason is for the caller to read. */
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
     * @param writeAheadLog null where the machine has no disk
     * @param addresses whom the node wants sessions with: addresses by node
     * @param leaseUntil until when lines may be delivered, in milliseconds of the monotonic clock
     * @param wireThreads how many threads carry the traffic between peers
     * @param fatal called on a thread that failed; ends the process
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
        // why: never the same as in a former incarnation of this process, however its clock was stepped
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

    /** The status of the sessions with peers, as JSON. */
    public String wireJson() {
        return WireReport.json(wire, state.zones());
    }

    /**
     * The lengths of the queues, and how many requests were refused since the start because they were full, as JSON.
     */
    public String queuesJson() {
        return "{\"events\":" + events.size() + ",\"jobs\":" + requests.size() + ",\"writes\":"
                + (disk == null ? 0 : disk.waiting()) + ",\"beats\":" + heartbeats.waiting() + ",\"sessions\":"
                + sinks.size() + ",\"refusedBusy\":" + requests.refused() + "}";
    }

    /** The sessions with peers, to listen on and to share their event loops. */
    public Wire wire() {
        return wire;
    }

    /**
     * Whether the lease still permits delivery. Checked right before each line is sent, so that a process that was
     * paused beyond its lease delivers nothing.
     */
    public boolean mayDeliver() {
        return state.mayDeliver();
    }

    /** Completes once the node first holds the lease on the configuration, before which it serves no caller. */
    public CompletableFuture<Void> firstLease() {
        return state.firstLease();
    }

    // ---- from the traffic threads

    /** An id that no other request of this process has, whatever its incarnation. */
    public long nextRequestId() {
        return requests.nextId();
    }

    /** Submits a request to the node; completes at once with a 503 refusal where the queues are full. */
    public CompletableFuture<Response> submit(final long requestId, final NodeRequest request) {
        if (events.refusesRequests() || requests.full()) {
            // why: a refusal here is certain, since nothing has begun, and costs the state thread nothing
            sinks.remove(requestId);
            return requests.refuse(timing.retryAfterMs());
        }
        final CompletableFuture<Response> response = requests.add(requestId);
        submitWithoutReply(request);
        return response;
    }

    /** Submits a request that nobody waits for. */
    public void submitWithoutReply(final NodeRequest request) {
        events.add((node, time) -> node.request(request, time));
    }

    /** Submits the request that begins a listening session, whose lines go to the sink. */
    public CompletableFuture<Response> subscribe(final long sessionId, final NodeRequest request, final Sink sink) {
        sinks.add(sessionId, sink);
        return submit(sessionId, request);
    }

    /** Ends a listening session whose caller has left. */
    public void unsubscribe(final long sessionId) {
        sinks.remove(sessionId);
        submitWithoutReply(new NodeRequest.Unsubscribe(sessionId));
    }

    // ---- from the wire's threads

    @Override
    public void frame(final int from, final PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            heartbeats.receive(from, heartbeat);
        } else if (events.refusesPeers()) {
            // why: what is lost with the session is retried or reported as unsettled, as with any broken session; for
            // what is merely dropped the sender would wait
            wire.closeSessions(from);
        } else {
            events.add((node, time) -> node.message(from, message, time));
        }
    }

    @Override
    public void sessionUp(final int node) {
        // why: a node that returns exchanges heartbeats at once rather than after the next period; with this node
        // alone,
        // since at a start the sessions with all peers begin one after another
        heartbeats.sessionUp(node);
    }

    @Override
    public void connectionLost(final int lost) {
        events.add((node, time) -> node.connectionLost(lost, time));
    }

    /** Ends the threads and all sessions. */
    @Override
    public void close() {
        threads.interrupt();
        wire.close();
        sinks.closeAll("this node stops");
        threads.join();
    }
}
